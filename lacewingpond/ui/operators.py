"""Base class and options of the commands that use the operators' API."""

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
        "Address (host:port) of the operators' API of any daemon.",
        flag=False,
        default="127.0.0.1:8082",
    ),
    option(
        "token-file",
        None,
        "File with the operator token; default: the environment variable "
        f"{TOKEN_VARIABLE}.",
        flag=False,
    ),
]
CONFIRM_OPTION = option("yes", "y", "Also confirm the plan.")


class OperatorCommand(Command):
    """Base of the commands that use a daemon's operators' API."""

    def client(self) -> OperatorClient:
        """Return a client for the daemon that the options name.

        Raises
        ------
        UserError
            If the address is not valid or there is no token.
        """
        address = self.option("daemon")
        try:
            parse_address(address)
        except ValueError as exc:
            raise UserError(f"--daemon: {address!r}: {exc}") from None
        return OperatorClient(address, self._token())

    @property
    def as_json(self) -> bool:
        """Whether to print JSON.

        Raises
        ------
        UserError
            If the format is unknown.
        """
        return wants_json(self.option("format"))

    def plan_intents(self, *intents: Intent) -> int:
        """Plan `intents`, show the plan, and confirm it with ``--yes``.

        Returns
        -------
        int
            The exit status.

        Raises
        ------
        UserError
            If the daemon refuses the intents or the confirmation.
        """
        view = unwrap_response(self.client().plan(intents))
        return self.show_and_confirm(view)

    def show_and_confirm(self, view: PlanView) -> int:
        """Show a plan, and confirm it with ``--yes``; see `plan_intents`."""
        if not self.as_json:
            self._show_plan(view)
        if not self.option("yes"):
            if self.as_json:
                self.line(to_json(view))
            else:
                self.line(f"To confirm it: lacewingpond confirm {view.plan_id}")
            return 0
        confirmed = unwrap_response(self.client().confirm(view.plan_id))
        if self.as_json:
            self.line(to_json(confirmed))
        else:
            self.line(f"Plan applied as revision {confirmed.revision}.")
        return 0

    def _show_plan(self, view: PlanView) -> None:
        self.line(f"Plan {view.plan_id} for revision {view.base_revision}:")
        for line in view.diff:
            self.line(f"  {line}")
        for warning in view.warnings:
            self.line(f"  warning: {warning}")

    def _token(self) -> str:
        path = self.option("token-file")
        if not path:
            token = os.environ.get(TOKEN_VARIABLE, "")
            if not token:
                raise UserError(
                    f"no operator token: give --token-file or set {TOKEN_VARIABLE}"
                )
            return token
        try:
            return Path(path).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as exc:
            raise UserError(f"--token-file {path}: {exc}") from exc


def unwrap_response(outcome: Result[object, OperatorError]) -> object:
    """Return the value of a successful response.

    Raises
    ------
    UserError
        If the request failed, with the reason.
    """
    if isinstance(outcome, Err):
        raise UserError(str(outcome.err_value))
    return outcome.ok_value
