"""Sends requests and classifies their responses."""

import hashlib
from enum import Enum

import urllib3
from msgspec import Struct

from lacewingpond.http.refusal import RUN_HEADER
from lacewingpond.load.schedule import ScheduledRequest
from lacewingpond.proxy.routed_request import IDEMPOTENCY_KEY_HEADER
from lacewingpond.util.strict_pool import StrictConnectionPool

BODILESS_STATUSES = frozenset({204, 304})
LIMITED_STATUS = 429
REQUEST_ID_HEADER = "X-Request-Id"


class CallOutcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ERROR = "error"


class CallResult(Struct, frozen=True):
    """Result of one request.

    Parameters
    ----------
    outcome : CallOutcome
        How the request ended.
    status : int
        HTTP status; 0 without a response.
    digest : str
        SHA-256 digest of the response's body, to compare repeats; empty for other
        outcomes than `CallOutcome.ANSWERED`.
    detail : str
        Description of an error; empty for the other outcomes.
    """

    outcome: CallOutcome
    status: int = 0
    digest: str = ""
    detail: str = ""


class Caller:
    """Sends requests over persistent connections.

    Parameters
    ----------
    timeout_s : float
        Longest wait to connect, and for data of a response, in seconds.
    seed : int
        Part of the request ids and the bodies, so that they differ between runs.
    """

    __slots__ = ("_pool", "_timeout_s", "_seed")

    def __init__(self, timeout_s: float, seed: int) -> None:
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=256, retries=False)
        self._pool.pool_classes_by_scheme = {"http": StrictConnectionPool}
        self._timeout_s = timeout_s
        self._seed = seed

    def request_id(self, request: ScheduledRequest) -> str:
        """Return the request id, by which the stand-in targets count runs."""
        return f"load-{self._seed}-{request.number}"

    def send(
        self, request: ScheduledRequest, daemon: str, timeout_s: float = 0.0
    ) -> CallResult:
        """Send a request and return its result; failures are results too.

        Parameters
        ----------
        request : ScheduledRequest
            The request.
        daemon : str
            ``host:port`` of the daemon.
        timeout_s : float
            Replaces the timeout of this object unless it is 0.
        """
        request_id = self.request_id(request)
        body = _body(request_id, request.kind.body_bytes)
        try:
            response = self._pool.request(
                request.kind.method,
                f"http://{daemon}{request.kind.path}",
                body=body or None,
                headers=self._headers(request, request_id),
                timeout=timeout_s or self._timeout_s,
            )
        except urllib3.exceptions.HTTPError as exc:
            return CallResult(CallOutcome.ERROR, detail=type(exc).__name__)
        if request.kind.method != "HEAD" and not _tells_its_end(response):
            return CallResult(CallOutcome.ERROR, response.status, detail="no length")
        return _classify(response, request_id, body)

    def _headers(self, request: ScheduledRequest, request_id: str) -> dict[str, str]:
        headers = {REQUEST_ID_HEADER: request_id}
        if request.workspace.key:
            headers["Authorization"] = f"Bearer {request.workspace.key}"
        if request.kind.idempotency_key:
            headers[IDEMPOTENCY_KEY_HEADER] = request_id
        return headers


def _body(request_id: str, size: int) -> bytes:
    if size <= 0:
        return b""
    line = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (line * (size // len(line) + 1))[:size]


def _tells_its_end(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether a part of the response can be told from all of it.

    Daemons send each response in HTTP/1.1 with a length or in chunks. Without one,
    urllib3 also ends a response at a reset that a send has met.
    """
    if response.status in BODILESS_STATUSES:
        return True
    framing = ("Content-Length", "Transfer-Encoding")
    return any(name in response.headers for name in framing)


def _classify(
    response: urllib3.BaseHTTPResponse, request_id: str, sent_body: bytes
) -> CallResult:
    run_state = response.headers.get(RUN_HEADER, "")
    if run_state:
        outcome = CallOutcome.NOT_RUN if run_state == "not-run" else CallOutcome.UNKNOWN
        return CallResult(outcome, response.status)
    received_id = response.headers.get(REQUEST_ID_HEADER, request_id)
    if received_id != request_id:
        return CallResult(
            CallOutcome.ERROR,
            response.status,
            detail=f"got the response to request {received_id}",
        )
    if sent_body and response.status == 200 and sent_body not in response.data:
        return CallResult(CallOutcome.ERROR, response.status, detail="incomplete body")
    digest = hashlib.sha256(response.data).hexdigest()
    return CallResult(CallOutcome.ANSWERED, response.status, digest)
