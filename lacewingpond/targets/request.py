"""A request as it goes to a target."""

from collections.abc import Callable, Iterable

from msgspec import Struct

from lacewingpond.http.headers import Headers
from lacewingpond.http.request import Request
from lacewingpond.routing.hop_by_hop import headers_to_target


class TargetRequest(Struct):
    """One request to one target.

    Parameters
    ----------
    method, path : str
        As the caller sent them.
    headers : Headers
        Fields that the target may see.
    body : iterable of bytes or None
        Sent as it comes; None for none. It can be sent only once.
    content_length : int or None
        Length of `body`; None sends it in chunks.
    idempotent : bool
        False keeps the request running when its caller goes.
    is_disconnected : callable or None
        Returns True once the caller has gone.
    may_send : callable or None
        Asked just before the first byte leaves; False stops the request.
    """

    method: str
    path: str
    headers: Headers
    body: Iterable[bytes] | None = None
    content_length: int | None = None
    idempotent: bool = False
    is_disconnected: Callable[[], bool] | None = None
    may_send: Callable[[], bool] | None = None

    @classmethod
    def from_request(cls, req: Request, idempotent: bool) -> "TargetRequest":
        """Prepare a caller's request, without its key and hop-by-hop fields."""
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
