"""Outcomes that a VM holds back from the judge."""

from collections.abc import Sequence

from lacewingpond.health.messages import TargetRecord
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.tally import Tally

HOLD_S = 60.0
"""Age, in seconds, at which outcomes held back are dropped."""


class UnsentOutcomes:
    """Sums up outcomes by target, to be sent once the target is suspected.

    Successes that came before a failure are sent with it, so that the judge
    weighs all that the VM has seen.

    Parameters
    ----------
    now : float
        Seconds of the clock.
    """

    __slots__ = ("_tallies", "_since")

    def __init__(self, now: float) -> None:
        self._tallies: dict[int, Tally] = {}
        self._since = now

    def hold(self, now: float, records: Sequence[TargetRecord]) -> None:
        """Add the outcomes of one period."""
        if now - self._since > HOLD_S:
            self._tallies.clear()
            self._since = now
        for record in records:
            tally = self._tallies.setdefault(record.target, Tally())
            tally.merge(Tally.from_packed(record.counts))

    def take(self, suspects: frozenset[int]) -> tuple[TargetRecord, ...]:
        """Return and forget what is held of suspected and draining targets."""
        wanted = [
            target
            for target, tally in self._tallies.items()
            if target in suspects or tally.of(Outcome.DRAINING)
        ]
        return tuple(
            TargetRecord(target, self._tallies.pop(target).packed())
            for target in wanted
        )
