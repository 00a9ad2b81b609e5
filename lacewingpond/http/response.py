"""A response to a caller."""

from collections.abc import Iterable
from http import HTTPStatus

from msgspec import Struct, field

from lacewingpond.http.headers import Headers


class Response(Struct):
    """One response; the server adds the framing.

    Parameters
    ----------
    status : int
        HTTP status from 200 on.
    headers : Headers
        Headers; the server sets ``Connection`` and ``Transfer-Encoding``. The
        connection is closed when a ``Content-Length`` differs from the body.
    body : bytes or iterable of bytes
        Sent block by block; an iterable with a ``close`` method is closed at the
        end. The connection is closed when the iterable raises.
    reason : str
        Reason phrase; the standard one when empty.
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
