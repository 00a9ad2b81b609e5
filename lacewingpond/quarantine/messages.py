"""Messages about requests that may crash targets."""

from lacewingpond.peers.base import Message


class CrashReport(Message, frozen=True):
    """A run ended with the crash of its target.

    Parameters
    ----------
    shard : int
        Shard of the fingerprint.
    fingerprint : str
        The request.
    target_id : str
        The target that crashed.
    crash_share : float
        Share of the service's runs that end with a crash, as the reporter sees it.
    """

    shard: int
    fingerprint: str
    target_id: str
    crash_share: float


class RunCompleted(Message, frozen=True):
    """A request that was reported before got a complete answer."""

    shard: int
    fingerprint: str


class QuarantineNotice(Message, frozen=True):
    """Tells a VM to refuse a request for a time in seconds."""

    fingerprint: str
    seconds: float
