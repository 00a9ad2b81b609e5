"""The proof that what this VM knows was up to date a short time ago."""

from collections.abc import Callable

from gevent.event import Event

from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.waiting import wait_for

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

    __slots__ = ("max_age_s", "_clock", "_log", "_proved_at", "_held", "_in_vain")
    __slots__ += ("_on_wanted",)

    def __init__(self, clock: Clock, log: DecisionLog, max_age_s: float) -> None:
        self.max_age_s = max_age_s
        self._clock = clock
        self._log = log
        self._proved_at = float("-inf")
        self._held = Event()
        self._in_vain = False
        self._on_wanted: list[Callable[[], None]] = []

    def on_wanted(self, listener: Callable[[], None]) -> None:
        """Call `listener` when a request waits for a proof."""
        self._on_wanted.append(listener)

    def prove(self, at: float, source: str) -> None:
        """Note that the state was the newest `at` seconds of the boot clock."""
        self._proved_at = max(self._proved_at, at)
        if not self._held.is_set() and self.is_fresh:
            self._held.set()
            self._in_vain = False
            self._log.decision("proof", source, "gained", age_s=round(self.age_s, 3))

    def await_proof(self, timeout_s: float) -> bool:
        """Return whether there is a proof, after a short wait for a new one.

        A VM that stood still finds its proof too old and gets another within
        milliseconds. After a wait in vain nobody waits until there was a proof.
        """
        if self.is_fresh or self._in_vain:
            return self.is_fresh
        for listener in self._on_wanted:
            listener()
        wait_for(self._held, self._clock, timeout_s)
        self._in_vain = not self.is_fresh
        return self.is_fresh

    @property
    def age_s(self) -> float:
        """Age of the proof in seconds; infinite without one."""
        return self._clock.boot() - self._proved_at

    @property
    def is_fresh(self) -> bool:
        """Whether keys may be trusted now."""
        fresh = self.age_s <= self.max_age_s
        if self._held.is_set() and not fresh:
            self._held.clear()
            self._log.decision("proof", "store", "lost", age_s=round(self.age_s, 3))
        return fresh
