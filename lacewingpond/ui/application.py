"""The command-line application and its commands."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from lacewingpond import __version__
from lacewingpond.ui.commands.bench import BenchCommand
from lacewingpond.ui.commands.check import CheckCommand
from lacewingpond.ui.commands.load import LoadCommand
from lacewingpond.ui.commands.replay import ReplayCommand
from lacewingpond.ui.commands.serve import ServeCommand
from lacewingpond.ui.commands.standin import (
    StandinPlatformCommand,
    StandinTargetCommand,
)
from lacewingpond.util.errors import UserError

COMMANDS = (
    BenchCommand,
    CheckCommand,
    LoadCommand,
    ReplayCommand,
    ServeCommand,
    StandinPlatformCommand,
    StandinTargetCommand,
)
USAGE_STATUS = 2


def build() -> Application:
    """Return the application with all its commands."""
    app = Application("lacewingpond", __version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in COMMANDS:
        app.add(command())
    return app


def run() -> int:
    """Run the command line; a user's error becomes one line on stderr."""
    try:
        return build().run()
    except (UserError, CleoError) as exc:
        print(f"lacewingpond: {exc}", file=sys.stderr)
        return USAGE_STATUS
    except KeyboardInterrupt:
        return 130
