"""Entry point of the command line.

The standard library is patched for gevent before other modules are imported.
"""

from gevent import monkey

monkey.patch_all()


def main() -> int:
    """Run the command line and return its exit status."""
    from lacewingpond.ui.application import run

    return run()


if __name__ == "__main__":
    raise SystemExit(main())
