"""A caller's request as the pipeline sees it."""

from collections.abc import Callable

from msgspec import Struct

from lacewingpond.http.body import RequestBody
from lacewingpond.http.headers import Headers


class Request(Struct):
    """One request of one caller.

    Parameters
    ----------
    method : str
        As sent; methods are case-sensitive.
    host : str
        Lower-case host without its port.
    path : str
        Raw path and query.
    headers : Headers
        All headers as sent.
    body : RequestBody
        The body, not read yet.
    remote_address : str
        IP address of the other end of the connection.
    received_at : float
        When the headers had arrived, in monotonic seconds.
    is_refused : callable
        Returns whether the server refuses requests that have not arrived whole.
    is_disconnected : callable
        Returns True once the caller has closed its side of the connection, unless
        bytes of the body that it sent before are still unread.
    """

    method: str
    host: str
    path: str
    headers: Headers
    body: RequestBody
    remote_address: str
    received_at: float
    is_refused: Callable[[], bool]
    is_disconnected: Callable[[], bool]
