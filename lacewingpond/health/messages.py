"""Messages between the VMs that use a service and the VM that judges it."""

import xxhash
from msgspec import Struct

from lacewingpond.peers.base import Message


def target_hash(target_id: str) -> int:
    """Return the 32-bit number that stands for a target in messages."""
    return xxhash.xxh32_intdigest(target_id.encode())


class TargetRecord(Struct, frozen=True, array_like=True):
    """Outcomes of one target in one period.

    Parameters
    ----------
    target : int
        `target_hash` of the target's id.
    counts : bytes
        Pairs of a code and a count, as written by `Tally.packed`.
    """

    target: int
    counts: bytes


class VerdictRow(Struct, frozen=True, array_like=True):
    """Verdict on one target that is not healthy.

    Parameters
    ----------
    target : int
        `target_hash` of the target's id.
    state : int
        Value of `VerdictState`.
    weight : int
        Weight in 255ths.
    age_s : int
        How long the state has lasted, in whole seconds.
    """

    target: int
    state: int
    weight: int
    age_s: int


class ServiceDigest(Struct, frozen=True, array_like=True):
    """One VM's outcomes of one service in one period.

    Parameters
    ----------
    service : str
        Name of the service.
    records : tuple of TargetRecord
        Only targets that were used.
    held : tuple of VerdictRow
        Ejections from the former judge, sent when the judge has changed.
    is_partial : bool
        True when only targets that the VM suspects are among the records.
    """

    service: str
    records: tuple[TargetRecord, ...] = ()
    held: tuple[VerdictRow, ...] = ()
    is_partial: bool = False


class ServiceVerdicts(Struct, frozen=True, array_like=True):
    """All targets of one service that are not healthy."""

    service: str
    rows: tuple[VerdictRow, ...] = ()


class HealthDigest(Message, frozen=True, tag=True, array_like=True):
    """Digests for all services that one VM judges."""

    digests: tuple[ServiceDigest, ...] = ()


class HealthVerdicts(Message, frozen=True, tag=True, array_like=True):
    """Verdicts of one judge, in answer to a digest or pushed on a change."""

    verdicts: tuple[ServiceVerdicts, ...] = ()
