"""Messages of the membership."""

from lacewingpond.membership.record import MemberRecord, MemberStatus
from lacewingpond.peers.base import Message


class MemberProbe(Message):
    """Probes the receiver and tells it what the sender believes of it."""

    status: MemberStatus = MemberStatus.LIVE
    version: int = 0


class MemberProbeAck(Message):
    """Acknowledges a probe."""


class MemberProbeFor(Message):
    """Asks the receiver to probe a third VM."""

    vm_id: str


class MemberProbeForAck(Message):
    """Whether the third VM answered."""

    answered: bool


class MemberNews(Message):
    """Records that may be new to the receiver.

    Parameters
    ----------
    records : tuple of MemberRecord
        What changed, or what differs from the receiver's table.
    list_age_s : float or None
        In an answer to a pull: age of the platform's list that the answering VM
        has taken in whole. None in all other messages.
    """

    records: tuple[MemberRecord, ...]
    list_age_s: float | None = None


class MemberPull(Message):
    """Asks for all records that differ.

    Parameters
    ----------
    digest : bytes
        Hashes of the sender's table, bucket by bucket.
    """

    digest: bytes
