"""Whether a workspace's rate admits a request."""

from msgspec import Struct


class Admission(Struct, frozen=True):
    """The answer to one request for a token.

    Parameters
    ----------
    admitted : bool
        Whether the request may go on.
    reason : str
        Why not, if it may not.
    retry_after_s : float
        When a token may be there, in seconds.
    """

    admitted: bool
    reason: str = ""
    retry_after_s: float = 0.0
