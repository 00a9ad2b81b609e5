"""The command-line application and its commands."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from lacewingpond import __version__
from lacewingpond.ui.commands.bench import BenchCommand
from lacewingpond.ui.commands.check import CheckCommand
from lacewingpond.ui.commands.confirm import ConfirmCommand
from lacewingpond.ui.commands.demo import DemoCommand
from lacewingpond.ui.commands.key import KeyGrantCommand, KeyWithdrawCommand
from lacewingpond.ui.commands.load import LoadCommand
from lacewingpond.ui.commands.plan import PlanCommand
from lacewingpond.ui.commands.replay import ReplayCommand
from lacewingpond.ui.commands.serve import ServeCommand
from lacewingpond.ui.commands.show import ShowCommand
from lacewingpond.ui.commands.standin import (
    StandinPlatformCommand,
    StandinTargetCommand,
)
from lacewingpond.ui.commands.status import StatusCommand
from lacewingpond.ui.commands.workspace import (
    WorkspacePutCommand,
    WorkspaceRemoveCommand,
)
from lacewingpond.util.errors import UserError

COMMANDS = (
    BenchCommand,
    CheckCommand,
    ConfirmCommand,
    DemoCommand,
    KeyGrantCommand,
    KeyWithdrawCommand,
    LoadCommand,
    PlanCommand,
    ReplayCommand,
    ServeCommand,
    ShowCommand,
    StandinPlatformCommand,
    StandinTargetCommand,
    StatusCommand,
    WorkspacePutCommand,
    WorkspaceRemoveCommand,
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
