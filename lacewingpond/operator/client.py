"""A client of the operators' API, for the command line."""

import msgspec
import urllib3
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.confirmation import Confirmation, ConfirmFailure
from lacewingpond.config.intents import Intent
from lacewingpond.operator.api import BEARER
from lacewingpond.operator.documents import (
    ConfigView,
    ErrorView,
    IntentsRequest,
    PlanView,
    StatusView,
)
from lacewingpond.util.strict_pool import StrictConnectionPool

TIMEOUT_S = 10.0
REPEATABLE = frozenset({"GET"})


class OperatorError(Struct, frozen=True):
    """A request that was refused or got no valid response.

    Parameters
    ----------
    status : int
        HTTP status; 0 without a response.
    problem : ErrorView
        The error that the daemon returned, or a description of the failure.
    """

    status: int
    problem: ErrorView

    def __str__(self) -> str:
        outcome = f"{self.problem.outcome}: " if self.problem.outcome else ""
        details = (*self.problem.findings, *self.problem.changed)
        return "\n".join((outcome + self.problem.error, *(f"  {d}" for d in details)))


class OperatorClient:
    """Client of the operators' API, which all daemons serve alike.

    Parameters
    ----------
    address : str
        ``host:port`` of the API.
    token : str
        The operators' token.
    timeout_s : float
        Longest wait to connect, and for a response, in seconds.
    """

    __slots__ = ("_pool", "_headers")

    def __init__(self, address: str, token: str, timeout_s: float = TIMEOUT_S) -> None:
        host, _, port = address.rpartition(":")
        self._headers = {"Authorization": BEARER + token}
        self._pool = StrictConnectionPool(
            host, int(port), retries=False, timeout=timeout_s
        )

    def plan(self, intents: tuple[Intent, ...]) -> Result[PlanView, OperatorError]:
        """Return a plan for `intents`."""
        body = msgspec.json.encode(IntentsRequest(intents))
        return self._call("POST", "/intents", PlanView, body)

    def plan_json(self, body: bytes) -> Result[PlanView, OperatorError]:
        """Return a plan for intents that are encoded as JSON already."""
        return self._call("POST", "/intents", PlanView, body)

    def confirm(self, plan_id: str) -> Result[Confirmation, OperatorError]:
        """Confirm a plan; without a response the outcome is unknown."""
        return self._call("POST", f"/plans/{plan_id}/confirm", Confirmation)

    def show_plan(self, plan_id: str) -> Result[PlanView, OperatorError]:
        """Return a plan and whether it is confirmed."""
        return self._call("GET", f"/plans/{plan_id}", PlanView)

    def show_config(self) -> Result[ConfigView, OperatorError]:
        """Return the daemon's current revision of the configuration."""
        return self._call("GET", "/config", ConfigView)

    def status(self) -> Result[StatusView, OperatorError]:
        """Return the revision of each VM."""
        return self._call("GET", "/status", StatusView)

    def _call(
        self, method: str, path: str, response_type: type, body: bytes = b""
    ) -> Result[Struct, OperatorError]:
        try:
            response = self._pool.request(
                method, path, body=body, headers=self._headers
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Err(OperatorError(0, _no_response(path, exc)))
        try:
            if response.status >= 400:
                problem = msgspec.json.decode(response.data, type=ErrorView)
                return Err(OperatorError(response.status, problem))
            return Ok(msgspec.json.decode(response.data, type=response_type))
        except msgspec.DecodeError as exc:
            problem = ErrorView(f"the daemon's response is not valid: {exc}")
            return Err(OperatorError(response.status, problem))


def _no_response(path: str, exc: Exception) -> ErrorView:
    if not path.endswith("/confirm"):
        return ErrorView(f"no response from the daemon: {exc}")
    if isinstance(exc, urllib3.exceptions.NewConnectionError):
        message = f"the daemon can't be reached: {exc}"
        return ErrorView(message, ConfirmFailure.NOT_ACCEPTED.value)
    message = "no response from the daemon; confirm again to learn the outcome"
    return ErrorView(message, ConfirmFailure.UNKNOWN.value)
