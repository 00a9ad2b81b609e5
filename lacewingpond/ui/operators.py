"""What the commands for operators share: the daemon's address and the token."""

import os
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option
from result import Err, Result

from lacewingpond.config.intents import Intent
from lacewingpond.operator.client import OperatorClient, OperatorError
from lacewingpond.operator.documents import PlanView
from lacewingpond.ui.output import FORMAT_OPTION, to_json, wants_json
from lacewingpond.util.address import parse_address
from lacewingpond.util.errors import UserError

TOKEN_VARIABLE = "LACEWINGPOND_OPERATOR_TOKEN"
OPERATOR_OPTIONS = [
    FORMAT_OPTION,
    option(
        "daemon",
        None,
        "Operators' address of any daemon.",
        flag=False,
        default="127.0.0.1:8082",
    ),
    option(
        "token-file",
        None,
        f"File with the operators' token; else {TOKEN_VARIABLE}.",
        flag=False,
    ),
]
CONFIRM_OPTION = option("yes", "y", "Confirm the plan at once.")


class OperatorCommand(Command):
    """Base of the commands that talk to a daemon."""

    def client(self) -> OperatorClient:
        """Return a client for the daemon that the options name."""
        address = self.option("daemon")
        try:
            parse_address(address)
        except ValueError as exc:
            raise UserError(f"--daemon: {address!r}: {exc}") from None
        return OperatorClient(address, self._token())

    @property
    def as_json(self) -> bool:
        """Whether the output is for a script."""
        return wants_json(self.option("format"))

    def propose(self, *intents: Intent) -> int:
        """Plan `intents`, show the plan and confirm it if asked to."""
        view = take(self.client().plan(intents))
        return self.finish(view)

    def finish(self, view: PlanView) -> int:
        """Show a plan and confirm it if asked to."""
        if not self.as_json:
            self._show(view)
        if not self.option("yes"):
            if self.as_json:
                self.line(to_json(view))
            else:
                self.line(f"Confirm it: lacewingpond confirm {view.plan_id}")
            return 0
        confirmed = take(self.client().confirm(view.plan_id))
        if self.as_json:
            self.line(to_json(confirmed))
        else:
            self.line(f"In force as revision {confirmed.revision}.")
        return 0

    def _show(self, view: PlanView) -> None:
        self.line(f"Plan {view.plan_id} against revision {view.base_revision}:")
        for line in view.diff:
            self.line(f"  {line}")
        for warning in view.warnings:
            self.line(f"  warning: {warning}")

    def _token(self) -> str:
        path = self.option("token-file")
        if not path:
            token = os.environ.get(TOKEN_VARIABLE, "")
            if not token:
                raise UserError(f"name --token-file or set {TOKEN_VARIABLE}")
            return token
        try:
            return Path(path).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as exc:
            raise UserError(f"--token-file {path}: {exc}") from exc


def take(outcome: Result[object, OperatorError]) -> object:
    """Return what a daemon answered.

    Raises
    ------
    UserError
        With the daemon's refusal.
    """
    if isinstance(outcome, Err):
        raise UserError(str(outcome.err_value))
    return outcome.ok_value
