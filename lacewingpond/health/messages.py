"""Messages between the VMs that use a service and its outlier detector."""

import xxhash
from msgspec import Struct

from lacewingpond.peers.base import Message


def target_hash(target_id: str) -> int:
    """Return the 32-bit hash that identifies a target in messages."""
    return xxhash.xxh32_intdigest(target_id.encode())


class TargetRecord(Struct, frozen=True, array_like=True):
    """Outcomes of one target in one period.

    Parameters
    ----------
    target : int
        `target_hash` of the target's id.
    counts : bytes
        Pairs of a code and a count, as returned by `Tally.packed`.
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
        Share of a healthy target's work, in 255ths.
    age_s : int
        Time since the state began, in whole seconds.
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
        One record for each target that the VM used.
    prior_verdicts : tuple of VerdictRow
        Ejected and draining targets as the previous owner reported them; sent after
        the owner has changed.
    is_partial : bool
        True when the records cover only targets that the VM suspects.
    """

    service: str
    records: tuple[TargetRecord, ...] = ()
    prior_verdicts: tuple[VerdictRow, ...] = ()
    is_partial: bool = False


class ServiceVerdicts(Struct, frozen=True, array_like=True):
    """Verdicts on all targets of one service that are not healthy."""

    service: str
    rows: tuple[VerdictRow, ...] = ()


class HealthDigest(Message, frozen=True, tag=True, array_like=True):
    """Digests of all services whose outlier detectors run on the receiving VM."""

    digests: tuple[ServiceDigest, ...] = ()


class HealthVerdicts(Message, frozen=True, tag=True, array_like=True):
    """Verdicts of one VM's detectors, sent in reply to a digest and on a change."""

    verdicts: tuple[ServiceVerdicts, ...] = ()
