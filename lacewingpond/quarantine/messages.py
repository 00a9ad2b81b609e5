"""Messages about requests that are suspected of crashing targets."""

from lacewingpond.peers.base import Message


class CrashReport(Message, frozen=True):
    """Reports a run that ended with a crash of its target.

    Parameters
    ----------
    shard : int
        Shard of the fingerprint.
    fingerprint : str
        Fingerprint of the request.
    target_id : str
        The target that crashed.
    crash_share : float
        Share of the service's runs that end with a crash, as measured by the sender.
    """

    shard: int
    fingerprint: str
    target_id: str
    crash_share: float


class RunCompleted(Message, frozen=True):
    """Reports a complete response to a request that was reported before."""

    shard: int
    fingerprint: str


class QuarantineNotice(Message, frozen=True):
    """Tells a VM to refuse a request for a number of seconds."""

    fingerprint: str
    seconds: float
