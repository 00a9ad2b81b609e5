"""The command-line application and its commands."""

import sys

from cleo.application import Application

from lacewingpond import __version__
from lacewingpond.util.errors import UserError


def build() -> Application:
    """Return the application with all its commands."""
    return Application("lacewingpond", __version__)


def run() -> int:
    """Run the command line; a user's error becomes one line on stderr."""
    app = build()
    app.auto_exits(False)
    app.catch_exceptions(False)
    try:
        return app.run()
    except UserError as exc:
        print(f"lacewingpond: {exc}", file=sys.stderr)
        return 2
