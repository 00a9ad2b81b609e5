"""An answer to a caller."""

from collections.abc import Iterable
from http import HTTPStatus

from msgspec import Struct, field

from lacewingpond.http.headers import Headers


class Response(Struct):
    """One answer; its framing is the server's matter.

    Parameters
    ----------
    status : int
        HTTP status from 200 on.
    headers : Headers
        Fields without ``Connection`` and ``Transfer-Encoding``. A
        ``Content-Length`` must tell the truth, or the connection is broken off.
    body : bytes or iterable of bytes
        Sent as it comes; an iterable with a ``close`` method is closed at the end.
        One that raises breaks the connection off.
    reason : str
        Reason phrase; the usual one when empty.
    """

    status: int
    headers: Headers = field(default_factory=Headers)
    body: bytes | Iterable[bytes] = b""
    reason: str = ""

    @property
    def phrase(self) -> str:
        """The reason phrase to send."""
        if self.reason:
            return self.reason
        try:
            return HTTPStatus(self.status).phrase
        except ValueError:
            return "Unknown"
