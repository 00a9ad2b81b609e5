"""The command-line application and its commands."""

import importlib
import sys
from collections.abc import Callable

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from lacewingpond import __version__
from lacewingpond.util.errors import UserError

COMMANDS = {
    "bench": "bench.BenchCommand",
    "check": "check.CheckCommand",
    "config check": "config_check.ConfigCheckCommand",
    "confirm": "confirm.ConfirmCommand",
    "demo": "demo.DemoCommand",
    "explain": "explain.ExplainCommand",
    "key grant": "key.KeyGrantCommand",
    "key withdraw": "key.KeyWithdrawCommand",
    "load": "load.LoadCommand",
    "plan": "plan.PlanCommand",
    "replay": "replay.ReplayCommand",
    "serve": "serve.ServeCommand",
    "show": "show.ShowCommand",
    "standin platform": "standin.StandinPlatformCommand",
    "standin target": "standin.StandinTargetCommand",
    "status": "status.StatusCommand",
    "workspace put": "workspace.WorkspacePutCommand",
    "workspace remove": "workspace.WorkspaceRemoveCommand",
}
"""Module and class of each command, by its name on the command line."""
USAGE_STATUS = 2
INTERRUPTED_STATUS = 130


def build() -> Application:
    """Return the application, which imports a command's module on its first use."""
    app = Application("lacewingpond", __version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    factories = {
        name: _command_factory(class_path) for name, class_path in COMMANDS.items()
    }
    app.set_command_loader(FactoryCommandLoader(factories))
    return app


def run() -> int:
    """Run the command line and return its exit status.

    An error that the user can correct is printed as one line to standard error.
    """
    try:
        return build().run()
    except (UserError, CleoError) as exc:
        print(f"lacewingpond: {exc}", file=sys.stderr)
        return USAGE_STATUS
    except KeyboardInterrupt:
        return INTERRUPTED_STATUS


def _command_factory(class_path: str) -> Callable[[], Command]:
    module, _, name = class_path.partition(".")

    def load() -> Command:
        loaded = importlib.import_module(f"lacewingpond.ui.commands.{module}")
        return getattr(loaded, name)()

    return load
