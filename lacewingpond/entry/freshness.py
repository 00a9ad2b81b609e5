"""Proof that this VM's view was the store's newest state a short time ago."""

from collections.abc import Callable

from gevent.event import Event

from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.waiting import wait_for

MAX_PROOF_AGE_RATIO = 0.7
"""Part of the revocation bound for which a proof is valid.

The rest is for a watch that is cut off and hangs for up to a second, and for the time
that a request needs to reach its target.
"""


class Freshness:
    """Time of the last proof that the known state is the store's newest.

    A proof is dated by the boot clock, which runs on while the VM is suspended.

    Parameters
    ----------
    clock : Clock
        Dates the proof.
    log : DecisionLog
        Log of the gain and the loss of the proof.
    max_age_s : float
        Age in seconds up to which a proof is valid; infinite if keys need none.
    """

    __slots__ = ("max_age_s", "_clock", "_log", "_proved_at", "_proved", "_wait_failed")
    __slots__ += ("_on_proof_needed",)

    def __init__(self, clock: Clock, log: DecisionLog, max_age_s: float) -> None:
        self.max_age_s = max_age_s
        self._clock = clock
        self._log = log
        self._proved_at = float("-inf")
        self._proved = Event()
        self._wait_failed = False
        self._on_proof_needed: list[Callable[[], None]] = []

    def on_proof_needed(self, listener: Callable[[], None]) -> None:
        """Call `listener` when a request starts to wait for a proof."""
        self._on_proof_needed.append(listener)

    def record_proof(self, at: float, source: str) -> None:
        """Record that the known state was the newest at boot-clock time `at`.

        Parameters
        ----------
        at : float
            Time in seconds; a proof older than the last one changes nothing.
        source : str
            Where the proof comes from, for the log.
        """
        self._proved_at = max(self._proved_at, at)
        if not self._proved.is_set() and self.is_fresh:
            self._proved.set()
            self._wait_failed = False
            self._log.decision("proof", source, "gained", age_s=round(self.age_s, 3))

    def await_proof(self, timeout_s: float) -> bool:
        """Return whether there is a valid proof; without one, ask for one and wait.

        The listeners of `on_proof_needed` are called, and the wait lasts `timeout_s`
        at most. A VM that was paused finds its proof expired and gets a new one within
        milliseconds. After a wait that timed out, calls return at once until there is
        a proof again.
        """
        if self.is_fresh or self._wait_failed:
            return self.is_fresh
        for listener in self._on_proof_needed:
            listener()
        wait_for(self._proved, self._clock, timeout_s)
        self._wait_failed = not self.is_fresh
        return self.is_fresh

    @property
    def age_s(self) -> float:
        """Age of the last proof in seconds; infinite without one."""
        return self._clock.boot() - self._proved_at

    @property
    def is_fresh(self) -> bool:
        """Whether the proof is valid, so that keys may be trusted now.

        The first read after the proof has expired logs its loss.
        """
        fresh = self.age_s <= self.max_age_s
        if self._proved.is_set() and not fresh:
            self._proved.clear()
            self._log.decision("proof", "store", "lost", age_s=round(self.age_s, 3))
        return fresh
