"""Applies verdicts without reducing capacity below a service's floor."""

from collections.abc import Sequence

from msgspec import Struct

from lacewingpond.config.model import Target
from lacewingpond.health.verdict import Verdict, VerdictState


class Candidate(Struct, frozen=True):
    """A target that may get work, and its share of a healthy target's work."""

    target: Target
    weight: float


def apply_verdicts(
    targets: Sequence[Target], verdicts: Sequence[Verdict], min_slots: float
) -> tuple[Candidate, ...]:
    """Return the targets that may take work.

    Ejections are applied oldest first, and each one only if the remaining targets
    have at least `min_slots` slots and more than none. An ejected target that stays
    in use for this reason gets the full weight of 1.

    Parameters
    ----------
    targets : sequence of Target
        Targets that the configuration does not drain.
    verdicts : sequence of Verdict
        One verdict for each target.
    min_slots : float
        Number of slots that must remain in use.
    """
    pairs = [
        (target, verdict)
        for target, verdict in zip(targets, verdicts, strict=True)
        if verdict.state is not VerdictState.DRAINING
    ]
    remaining = sum(target.slots for target, _ in pairs)
    excluded = set()
    ejected = [(t, v) for t, v in pairs if v.state is VerdictState.EJECTED]
    for target, _ in sorted(ejected, key=lambda p: (p[1].since, p[0].target_id)):
        if remaining - target.slots >= min_slots and remaining > target.slots:
            remaining -= target.slots
            excluded.add(target.target_id)
    return tuple(
        Candidate(target, verdict.weight or 1.0)
        for target, verdict in pairs
        if target.target_id not in excluded
    )
