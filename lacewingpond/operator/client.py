"""A client of the operators' API, for the command line."""

import msgspec
import urllib3
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.confirmation import Confirmation, Refusal
from lacewingpond.config.intents import Intent
from lacewingpond.operator.api import BEARER
from lacewingpond.operator.documents import (
    ConfigView,
    ErrorView,
    IntentsRequest,
    PlanView,
    StatusView,
)

TIMEOUT_S = 10.0
REPEATABLE = frozenset({"GET"})


class OperatorError(Struct, frozen=True):
    """A call that was refused or got no answer.

    Parameters
    ----------
    status : int
        HTTP status; 0 without an answer.
    problem : ErrorView
        What the daemon said, or what is known without it.
    """

    status: int
    problem: ErrorView

    def __str__(self) -> str:
        outcome = f"{self.problem.outcome}: " if self.problem.outcome else ""
        details = (*self.problem.findings, *self.problem.changed)
        return "\n".join((outcome + self.problem.error, *(f"  {d}" for d in details)))


class OperatorClient:
    """Talks to the operators' API of any daemon.

    Parameters
    ----------
    address : str
        ``host:port`` of the API.
    token : str
        The operators' token.
    timeout_s : float
        Longest wait for an answer.
    """

    __slots__ = ("_pool", "_headers")

    def __init__(self, address: str, token: str, timeout_s: float = TIMEOUT_S) -> None:
        host, _, port = address.rpartition(":")
        self._headers = {"Authorization": BEARER + token}
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), retries=False, timeout=timeout_s
        )

    def plan(self, intents: tuple[Intent, ...]) -> Result[PlanView, OperatorError]:
        """Ask for a plan."""
        body = msgspec.json.encode(IntentsRequest(intents))
        return self._call("POST", "/intents", PlanView, body)

    def plan_json(self, body: bytes) -> Result[PlanView, OperatorError]:
        """Ask for a plan of intents that are JSON already."""
        return self._call("POST", "/intents", PlanView, body)

    def confirm(self, plan_id: str) -> Result[Confirmation, OperatorError]:
        """Confirm a plan; without an answer the outcome is unknown."""
        return self._call("POST", f"/plans/{plan_id}/confirm", Confirmation)

    def show_plan(self, plan_id: str) -> Result[PlanView, OperatorError]:
        """Read a plan and what became of it."""
        return self._call("GET", f"/plans/{plan_id}", PlanView)

    def show_config(self) -> Result[ConfigView, OperatorError]:
        """Read the configuration in force at the daemon."""
        return self._call("GET", "/config", ConfigView)

    def status(self) -> Result[StatusView, OperatorError]:
        """Read the revision of each VM."""
        return self._call("GET", "/status", StatusView)

    def _call(
        self, method: str, path: str, kind: type, body: bytes = b""
    ) -> Result[Struct, OperatorError]:
        try:
            answer = self._pool.request(method, path, body=body, headers=self._headers)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Err(OperatorError(0, _no_answer(path, exc)))
        try:
            if answer.status >= 400:
                problem = msgspec.json.decode(answer.data, type=ErrorView)
                return Err(OperatorError(answer.status, problem))
            return Ok(msgspec.json.decode(answer.data, type=kind))
        except msgspec.DecodeError as exc:
            problem = ErrorView(f"the answer can't be read: {exc}")
            return Err(OperatorError(answer.status, problem))


def _no_answer(path: str, exc: Exception) -> ErrorView:
    if not path.endswith("/confirm"):
        return ErrorView(f"no answer from the daemon: {exc}")
    if isinstance(exc, urllib3.exceptions.NewConnectionError):
        text = f"the daemon can't be reached: {exc}"
        return ErrorView(text, Refusal.NOT_ACCEPTED.value)
    text = "no answer from the daemon; confirm again to find out"
    return ErrorView(text, Refusal.UNKNOWN.value)
