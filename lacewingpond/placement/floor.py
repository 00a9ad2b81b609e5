"""Keeps the capacity in use at or above a service's floor."""

from collections.abc import Sequence

from msgspec import Struct

from lacewingpond.config.model import Target
from lacewingpond.health.verdict import Verdict, VerdictState


class Candidate(Struct, frozen=True):
    """A target and the share of work that it may get."""

    target: Target
    weight: float


def apply_verdicts(
    targets: Sequence[Target], verdicts: Sequence[Verdict], least_slots: float
) -> tuple[Candidate, ...]:
    """Return the targets that may take work.

    Ejections are applied from the oldest on, and each only while the slots of
    the other targets stay at or above `least_slots`.

    Parameters
    ----------
    targets : sequence of Target
        Targets that are not draining.
    verdicts : sequence of Verdict
        One for each target.
    least_slots : float
        Slots that stay in use.
    """
    pairs = [
        (target, verdict)
        for target, verdict in zip(targets, verdicts, strict=True)
        if verdict.state is not VerdictState.DRAINING
    ]
    remaining = sum(target.slots for target, _ in pairs)
    out = set()
    ejected = [(t, v) for t, v in pairs if v.state is VerdictState.EJECTED]
    for target, _ in sorted(ejected, key=lambda p: (p[1].since, p[0].target_id)):
        if remaining - target.slots >= least_slots and remaining > target.slots:
            remaining -= target.slots
            out.add(target.target_id)
    return tuple(
        Candidate(target, verdict.weight or 1.0)
        for target, verdict in pairs
        if target.target_id not in out
    )
