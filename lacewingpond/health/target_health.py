"""State of one target at its judge."""

from enum import Enum

from lacewingpond.health.evidence import Evidence
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.tally import Tally
from lacewingpond.health.verdict import Verdict, VerdictState


class Phase(Enum):
    """Where a target is between ejection and normal work."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    TRIAL = "trial"
    RAMP = "ramp"


class TargetHealth:
    """Evidence against a target, and its way out of work and back.

    Parameters
    ----------
    target_id : str
        The target.
    options : HealthOptions
        Hold-down, trial and slow start.
    now : float
        Time of the first sight, in seconds.
    """

    __slots__ = (
        "target_id",
        "errors",
        "slowness",
        "phase",
        "since",
        "cold_until",
        "trial",
        "draining_until",
        "_options",
        "_strikes",
        "_hold_s",
        "_refusing_since",
    )

    def __init__(self, target_id: str, options: HealthOptions, now: float) -> None:
        self.target_id = target_id
        self.errors = Evidence(options)
        self.slowness = Evidence(options)
        self.phase = Phase.HEALTHY
        self.since = now
        self.cold_until = now + options.cold_start_s
        self.trial = 0.0
        self.draining_until = now
        self._options = options
        self._strikes = 0
        self._hold_s = 0.0
        self._refusing_since: float | None = None

    def strength(self, min_vms: int) -> float:
        """Return the stronger evidence, of failures or of slow answers."""
        return max(self.errors.strength(min_vms), self.slowness.strength(min_vms))

    def suspicion(self) -> float:
        """Return the strongest evidence of a single VM."""
        return max(self.errors.suspicion(), self.slowness.suspicion())

    def is_draining(self, now: float) -> bool:
        """Return whether the target has said that it takes no new work."""
        return now < self.draining_until

    def drain(self, now: float) -> bool:
        """Give the target no new work, and return whether that is news."""
        is_news = not self.is_draining(now)
        self.draining_until = now + self._options.drain_s
        return is_news

    def note_refusals(self, now: float, refused: int, answered: int) -> None:
        """Follow a spell of refused connections, once a period.

        A target that restarts refuses connections for a while and is cold when
        it answers again; neither speaks against it.
        """
        if refused:
            if self._refusing_since is None:
                self._refusing_since = now
            if not self.refusals_count(now):
                self.cold_until = now + self._options.cold_start_s
        elif answered and self._refusing_since is not None:
            self._refusing_since = None
            if self.phase is Phase.HEALTHY:
                self.warm_up(now)

    def warm_up(self, now: float) -> None:
        """Begin with little work, as after a start."""
        self.cold_until = now + self._options.cold_start_s
        self._enter(Phase.RAMP, now)

    def failures(self, now: float, tally: Tally) -> int:
        """Return the outcomes of `tally` that count as failures.

        Timeouts of a cold target and refused connections of one that restarts
        don't count.
        """
        failed = tally.of(Outcome.ERROR)
        if now >= self.cold_until:
            failed += tally.of(Outcome.TIMEOUT)
        if self.refusals_count(now):
            failed += tally.of(Outcome.REFUSED_CONNECTION)
        return failed

    def refusals_count(self, now: float) -> bool:
        """Return whether refused connections have lasted too long for a restart."""
        since = self._refusing_since
        return since is not None and now - since >= self._options.restart_s

    def eject(self, now: float) -> float:
        """Take the target out of work and return for how long, in seconds."""
        if self.phase is Phase.HEALTHY and self._is_forgiven(now):
            self._strikes = 0
        self._hold_s = min(
            self._options.hold_s * 2.0**self._strikes, self._options.max_hold_s
        )
        self._strikes += 1
        self._enter(Phase.EJECTED, now)
        return self._hold_s

    def advance(self, now: float) -> bool:
        """Move on to the next phase if it is time, and return whether it was."""
        if self.phase is Phase.EJECTED and now - self.since >= self._hold_s:
            self._enter(Phase.TRIAL, now)
            return True
        if self.phase is Phase.TRIAL and self.trial <= -self._options.trial_evidence:
            self._enter(Phase.RAMP, now)
            return True
        if self.phase is Phase.RAMP and self.weight(now) >= 1.0:
            self._enter(Phase.HEALTHY, now)
            return True
        return False

    def weight(self, now: float) -> float:
        """Return the share of a healthy target's work, 0 to 1."""
        if self.phase is Phase.HEALTHY:
            return 1.0
        if self.phase is Phase.EJECTED:
            return 0.0
        least = self._options.trial_weight
        if self.phase is Phase.TRIAL:
            return least
        risen = (now - self.since) / self._options.slow_start_s
        return min(max(risen, least), 1.0)

    def verdict(self, now: float) -> Verdict:
        """Return what placement may do with the target."""
        if self.is_draining(now):
            began = self.draining_until - self._options.drain_s
            return Verdict(VerdictState.DRAINING, 0.0, began)
        state = VerdictState.SLOW_START
        if self.phase is Phase.HEALTHY:
            state = VerdictState.HEALTHY
        if self.phase is Phase.EJECTED:
            state = VerdictState.EJECTED
        return Verdict(state=state, weight=self.weight(now), since=self.since)

    def _is_forgiven(self, now: float) -> bool:
        return now - self.since >= self._options.forgive_s

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self.since = now
        self.trial = 0.0
        self.errors.clear()
        self.slowness.clear()
