"""One caller: sends a request and judges its answer."""

import hashlib
from enum import Enum

import urllib3
from msgspec import Struct

from lacewingpond.http.refusal import RUN_HEADER
from lacewingpond.load.schedule import Arrival
from lacewingpond.proxy.job import IDEMPOTENCY_KEY_HEADER

REASON_LIMITED = 429
REQUEST_ID = "X-Request-Id"


class Outcome(Enum):
    """How one request ended."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ERROR = "error"


class Answer(Struct, frozen=True):
    """The end of one request.

    Parameters
    ----------
    outcome : Outcome
        What the caller was told.
    status : int
        HTTP status; 0 when there was none.
    digest : str
        SHA-256 of the answer's body, to compare repeats.
    detail : str
        What was wrong, if anything.
    """

    outcome: Outcome
    status: int = 0
    digest: str = ""
    detail: str = ""


class Caller:
    """Sends requests over kept connections.

    Parameters
    ----------
    timeout_s : float
        Longest time for one request, in seconds.
    seed : int
        Makes request ids and bodies unique to a run.
    """

    __slots__ = ("_pool", "_timeout_s", "_seed")

    def __init__(self, timeout_s: float, seed: int) -> None:
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=256, retries=False)
        self._timeout_s = timeout_s
        self._seed = seed

    def request_id(self, arrival: Arrival) -> str:
        """Return the id that the stand-in targets count runs by."""
        return f"load-{self._seed}-{arrival.number}"

    def send(self, arrival: Arrival, daemon: str, timeout_s: float = 0.0) -> Answer:
        """Send `arrival` to `daemon` and return how it ended."""
        identity = self.request_id(arrival)
        body = _body(identity, arrival.kind.body_bytes)
        try:
            response = self._pool.request(
                arrival.kind.method,
                f"http://{daemon}{arrival.kind.path}",
                body=body or None,
                headers=self._headers(arrival, identity),
                timeout=timeout_s or self._timeout_s,
            )
        except urllib3.exceptions.HTTPError as exc:
            return Answer(Outcome.ERROR, detail=type(exc).__name__)
        return _judge(response, identity, body)

    def _headers(self, arrival: Arrival, identity: str) -> dict[str, str]:
        headers = {REQUEST_ID: identity}
        if arrival.workspace.key:
            headers["Authorization"] = f"Bearer {arrival.workspace.key}"
        if arrival.kind.idempotency_key:
            headers[IDEMPOTENCY_KEY_HEADER] = identity
        return headers


def _body(identity: str, size: int) -> bytes:
    if size <= 0:
        return b""
    line = hashlib.sha256(identity.encode()).hexdigest().encode()
    return (line * (size // len(line) + 1))[:size]


def _judge(response: urllib3.BaseHTTPResponse, identity: str, sent: bytes) -> Answer:
    run = response.headers.get(RUN_HEADER, "")
    if run:
        outcome = Outcome.NOT_RUN if run == "not-run" else Outcome.UNKNOWN
        return Answer(outcome, response.status)
    echoed = response.headers.get(REQUEST_ID, identity)
    if echoed != identity:
        return Answer(
            Outcome.ERROR, response.status, detail=f"got the answer to {echoed}"
        )
    if sent and response.status == 200 and sent not in response.data:
        return Answer(Outcome.ERROR, response.status, detail="body not whole")
    digest = hashlib.sha256(response.data).hexdigest()
    return Answer(Outcome.ANSWERED, response.status, digest)
