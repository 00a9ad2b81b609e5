"""The proof that what this VM knows was up to date a short time ago."""

from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

PROOF_SHARE = 0.7
"""Part of the revocation bound that a proof lasts.

The store's watches may hear nothing for a second while they are cut off, and a
request needs time to reach its target.
"""


class Freshness:
    """When the known state was last proved to be the store's newest.

    Times come from the clock that goes on while the VM is suspended.

    Parameters
    ----------
    clock : Clock
        Dates the proof.
    log : DecisionLog
        Takes the loss and the return of the proof.
    max_age_s : float
        Age at which a proof is worth nothing; infinite if keys need none.
    """

    __slots__ = ("max_age_s", "_clock", "_log", "_proved_at", "_held")

    def __init__(self, clock: Clock, log: DecisionLog, max_age_s: float) -> None:
        self.max_age_s = max_age_s
        self._clock = clock
        self._log = log
        self._proved_at = float("-inf")
        self._held = False

    def prove(self, at: float, source: str) -> None:
        """Note that the state was the newest `at` seconds of the boot clock."""
        self._proved_at = max(self._proved_at, at)
        if not self._held and self.is_fresh:
            self._held = True
            self._log.decision("proof", source, "gained", age_s=round(self.age_s, 3))

    @property
    def age_s(self) -> float:
        """Age of the proof in seconds; infinite without one."""
        return self._clock.boot() - self._proved_at

    @property
    def is_fresh(self) -> bool:
        """Whether keys may be trusted now."""
        fresh = self.age_s <= self.max_age_s
        if self._held and not fresh:
            self._held = False
            self._log.decision("proof", "store", "lost", age_s=round(self.age_s, 3))
        return fresh
