"""Entry point of the command line; makes the standard library cooperative first."""

from gevent import monkey

monkey.patch_all()


def main() -> int:
    """Run the command line and return its exit status."""
    from lacewingpond.ui.application import run

    return run()


if __name__ == "__main__":
    raise SystemExit(main())
