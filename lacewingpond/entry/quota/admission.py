"""The result of a quota check of the entry daemon.

`lacewingpond.limits.admission` has that of the standalone daemon's rate limits.
"""

from msgspec import Struct


class Admission(Struct, frozen=True):
    """Whether the quota of a workspace admits a request.

    Parameters
    ----------
    admitted : bool
        Whether a token was taken for the request.
    reason : str
        Reason code of the refusal; empty if admitted.
    retry_after_s : float
        Time after which the caller should try again, in seconds; 0 if admitted.
    granted_by : str
        VM whose share the token was taken from; empty if none was needed or granted.
    """

    admitted: bool
    reason: str = ""
    retry_after_s: float = 0.0
    granted_by: str = ""
