"""Messages of the membership."""

from lacewingpond.membership.record import MemberRecord, MemberStatus
from lacewingpond.peers.base import Message


class MemberProbe(Message):
    """Probes the receiver, and reports its status as the sender sees it."""

    status: MemberStatus = MemberStatus.LIVE
    version: int = 0


class MemberProbeAck(Message):
    """Acknowledges a probe."""


class MemberProbeFor(Message):
    """Requests that the receiver probes a third VM."""

    vm_id: str


class MemberProbeForAck(Message):
    """Response to `MemberProbeFor`: whether the third VM responded."""

    answered: bool


class MemberNews(Message):
    """Records that may be new to the receiver.

    Parameters
    ----------
    records : tuple of MemberRecord
        Records that changed, or that differ from the receiver's table.
    list_age_s : float or None
        In a response to a pull: age in seconds of the newest list that the sender
        has merged completely; None when it has none, and in other messages.
    """

    records: tuple[MemberRecord, ...]
    list_age_s: float | None = None


class MemberPull(Message):
    """Requests all records that differ from the sender's.

    Parameters
    ----------
    digest : bytes
        Hashes of the sender's table, one per bucket.
    """

    digest: bytes
