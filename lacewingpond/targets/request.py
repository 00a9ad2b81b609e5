"""Requests as they are sent to targets."""

import math
from collections.abc import Callable, Iterable

from msgspec import Struct

from lacewingpond.http.headers import Headers
from lacewingpond.http.request import Request
from lacewingpond.routing.forwarded_headers import headers_to_target

OVERDUE_CHECK_S = 0.1  # delay of a response that supersedes an overdue one


class TargetRequest(Struct):
    """One request to one target.

    Parameters
    ----------
    method, path : str
        Method, and path with query, as the caller sent them.
    headers : Headers
        Headers that the target may see.
    body : iterable of bytes or None
        Streamed to the target; None for no body. It can be sent only once.
    content_length : int or None
        Length of `body` in bytes; None uses chunked encoding.
    idempotent : bool
        False keeps the request running after its caller has disconnected.
    is_disconnected : callable or None
        Returns True once the caller has disconnected.
    may_send : callable or None
        Called just before the first byte is sent; False cancels the request.
    on_overdue : callable or None
        Called at intervals while the response is overdue: after `overdue_at`, or
        while the connection seems silent. True ends the request as superseded. If
        None, an idempotent request on a silent connection is given up.
    overdue_at : float
        Time from which the response is overdue, in monotonic seconds.
    overdue_check_s : float
        Longest interval of the calls of `on_overdue`, in seconds.
    """

    method: str
    path: str
    headers: Headers
    body: Iterable[bytes] | None = None
    content_length: int | None = None
    idempotent: bool = False
    is_disconnected: Callable[[], bool] | None = None
    may_send: Callable[[], bool] | None = None
    on_overdue: Callable[[], bool] | None = None
    overdue_at: float = math.inf
    overdue_check_s: float = OVERDUE_CHECK_S

    @classmethod
    def from_request(cls, req: Request, idempotent: bool) -> "TargetRequest":
        """Return a caller's request without its API key and hop-by-hop headers."""
        empty = req.body.is_empty
        return cls(
            method=req.method,
            path=req.path,
            headers=headers_to_target(req.headers),
            body=None if empty else req.body,
            content_length=req.body.content_length,
            idempotent=idempotent,
            is_disconnected=req.is_disconnected,
        )
