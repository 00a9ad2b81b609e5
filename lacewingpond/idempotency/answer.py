"""A target's complete response."""

from msgspec import Struct


class Answer(Struct, frozen=True, array_like=True):
    """Status, headers and body of a response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of str
        Names and values, without hop-by-hop headers.
    body : bytes
        The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
