"""A request with its route, ready to be sent to targets."""

from collections.abc import Callable

import xxhash

from lacewingpond.config.model import Service
from lacewingpond.http.headers import Headers
from lacewingpond.http.request import Request
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.proxy.buffered_body import BufferedBody
from lacewingpond.proxy.outgoing_body import OutgoingBody
from lacewingpond.proxy.streamed_body import StreamedBody
from lacewingpond.quarantine.fingerprint import fingerprint
from lacewingpond.routing.forwarded_headers import headers_to_target
from lacewingpond.routing.match import RouteMatch
from lacewingpond.targets.request import TargetRequest

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


class RoutedRequest:
    """One request for a service.

    Parameters
    ----------
    match : RouteMatch
        The request's route and service.
    workspace : str
        Workspace of the caller; empty on an open route.
    method, path : str
        As the caller sent them.
    headers : Headers
        Headers to send to the target.
    body : OutgoingBody
        Body to send.
    deadline : float
        When the response headers must have arrived, in monotonic seconds.
    is_disconnected : callable or None
        Returns True once the caller has disconnected.
    may_send : callable or None
        Called just before the first byte is sent; the request is not sent when it
        returns False.
    fingerprint : str
        Identifies the request to the quarantine; empty when the request has neither
        an idempotency key nor a buffered body.
    """

    __slots__ = (
        "match",
        "workspace",
        "method",
        "path",
        "headers",
        "body",
        "deadline",
        "is_disconnected",
        "may_send",
        "fingerprint",
    )

    def __init__(
        self,
        match: RouteMatch,
        workspace: str,
        method: str,
        path: str,
        headers: Headers,
        body: OutgoingBody,
        deadline: float,
        is_disconnected: Callable[[], bool] | None = None,
        may_send: Callable[[], bool] | None = None,
        fingerprint: str = "",
    ) -> None:
        self.match = match
        self.workspace = workspace
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.deadline = deadline
        self.is_disconnected = is_disconnected
        self.may_send = may_send
        self.fingerprint = fingerprint

    @classmethod
    def from_request(
        cls,
        req: Request,
        match: RouteMatch,
        workspace: str,
        deadline: float,
        replay_bytes: int,
    ) -> "RoutedRequest":
        """Return a caller's request for delivery; reads and buffers a short body.

        Raises
        ------
        RequestBodyError
            When a short body ends early, is malformed or too slow.
        """
        body = _body_of(req, replay_bytes)
        return cls(
            match=match,
            workspace=workspace,
            method=req.method,
            path=req.path,
            headers=headers_to_target(req.headers),
            body=body,
            deadline=deadline,
            is_disconnected=req.is_disconnected,
            fingerprint=_fingerprint(req, match, workspace, body),
        )

    @property
    def service(self) -> Service:
        """The service that the request is for."""
        return self.match.service

    @property
    def idempotent(self) -> bool:
        """Whether a retry is safe after a target may have run the request."""
        return self.match.route.is_idempotent(self.method)

    @classmethod
    def from_keyed(
        cls,
        request: KeyedRequest,
        match: RouteMatch,
        deadline: float,
        may_send: Callable[[], bool],
    ) -> "RoutedRequest":
        """Return a request with an idempotency key that this VM owns.

        It has no `is_disconnected`: it runs to its end after the caller disconnects.
        """
        key = request.key.encode("utf-8", "replace")
        return cls(
            match=match,
            workspace=request.workspace,
            method=request.method,
            path=request.path,
            headers=Headers(request.headers),
            body=BufferedBody(request.body),
            deadline=deadline,
            may_send=may_send,
            fingerprint=fingerprint(
                request.workspace, request.route, request.method, request.path, key
            ),
        )

    def attempt(self) -> TargetRequest:
        """Return the target request for one attempt."""
        return TargetRequest(
            method=self.method,
            path=self.path,
            headers=self.headers,
            body=self.body.open(),
            content_length=self.body.content_length,
            idempotent=self.idempotent,
            is_disconnected=self.is_disconnected,
            may_send=self.may_send,
        )


def _fingerprint(
    req: Request, match: RouteMatch, workspace: str, body: OutgoingBody
) -> str:
    key = req.headers.get(IDEMPOTENCY_KEY_HEADER)
    if key:
        identity = key.encode("utf-8", "replace")
    elif isinstance(body, BufferedBody):
        identity = xxhash.xxh3_128_digest(body.data)
    else:
        return ""
    return fingerprint(workspace, match.route.name, req.method, req.path, identity)


def _body_of(req: Request, replay_bytes: int) -> OutgoingBody:
    if req.body.is_empty:
        return BufferedBody(b"")
    length = req.body.content_length
    if length is None or length > replay_bytes:
        return StreamedBody(req)
    return BufferedBody(b"".join(req.body))
