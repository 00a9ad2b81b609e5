"""Outcomes that a VM has not reported to the outlier detector."""

from collections.abc import Sequence

from lacewingpond.health.messages import TargetRecord
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.tally import Tally

MAX_UNSENT_AGE_S = 60.0
"""Age at which unreported outcomes are dropped."""


class UnsentOutcomes:
    """Adds up outcomes by target until the target is suspected.

    Successes before a failure are reported with it, so that the detector counts
    all outcomes of the VM rather than its failures only.

    Parameters
    ----------
    now : float
        Current time, in seconds of the clock.
    """

    __slots__ = ("_tallies", "_since")

    def __init__(self, now: float) -> None:
        self._tallies: dict[int, Tally] = {}
        self._since = now

    def add(self, now: float, records: Sequence[TargetRecord]) -> None:
        """Add the outcomes of one period, and drop the earlier ones if too old."""
        if now - self._since > MAX_UNSENT_AGE_S:
            self._tallies.clear()
            self._since = now
        for record in records:
            tally = self._tallies.setdefault(record.target, Tally())
            tally.merge(Tally.from_packed(record.counts))

    def take(self, suspects: frozenset[int]) -> tuple[TargetRecord, ...]:
        """Remove and return the outcomes of suspected and of draining targets."""
        reported = [
            target
            for target, tally in self._tallies.items()
            if target in suspects or tally.count_of(Outcome.DRAINING)
        ]
        return tuple(
            TargetRecord(target, self._tallies.pop(target).packed())
            for target in reported
        )
