"""State of one target in an outlier detector."""

from enum import Enum

from lacewingpond.health.evidence import Evidence
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.tally import Tally
from lacewingpond.health.verdict import Verdict, VerdictState


class Phase(Enum):
    """Step of a target's cycle from normal work through ejection and back."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    TRIAL = "trial"
    SLOW_START = "ramp"


class TargetHealth:
    """Evidence against a target, and its current phase.

    Parameters
    ----------
    target_id : str
        The target.
    options : HealthOptions
        Durations of the phases, and the evidence that ends a trial.
    now : float
        Current time, in seconds of the clock.

    Attributes
    ----------
    errors, slowness : Evidence
        Evidence from failures and from slow responses.
    phase : Phase
        Current phase.
    since : float
        Time at which the phase began, in seconds of the clock.
    cold_until : float
        Time until which slow responses and timeouts don't count.
    trial_llr : float
        Evidence from the current trial; below 0 for a healthy target.
    draining_until : float
        Time until which the target gets no new work.
    """

    __slots__ = (
        "target_id",
        "errors",
        "slowness",
        "phase",
        "since",
        "cold_until",
        "trial_llr",
        "draining_until",
        "_options",
        "_recent_ejections",
        "_hold_s",
        "_refused_since",
    )

    def __init__(self, target_id: str, options: HealthOptions, now: float) -> None:
        self.target_id = target_id
        self.errors = Evidence(options)
        self.slowness = Evidence(options)
        self.phase = Phase.HEALTHY
        self.since = now
        self.cold_until = now + options.cold_start_s
        self.trial_llr = 0.0
        self.draining_until = now
        self._options = options
        self._recent_ejections = 0
        self._hold_s = 0.0
        self._refused_since: float | None = None

    def strength(self, min_vms: int) -> float:
        """Return the stronger of the evidence from failures and from slow responses."""
        return max(self.errors.strength(min_vms), self.slowness.strength(min_vms))

    def suspicion(self) -> float:
        """Return the strongest evidence of a single VM."""
        return max(self.errors.suspicion(), self.slowness.suspicion())

    def is_draining(self, now: float) -> bool:
        """Return whether the target said within `drain_s` that it takes no new work."""
        return now < self.draining_until

    def drain(self, now: float) -> bool:
        """Stop new work for `drain_s`; return False if it was stopped already."""
        is_new = not self.is_draining(now)
        self.draining_until = now + self._options.drain_s
        return is_new

    def track_refusals(self, now: float, refused: int, responded: int) -> None:
        """Detect a restart from refused connections; called once a period.

        A target that restarts refuses connections for a while and responds slowly
        at first; neither counts as evidence against it. Its first response afterwards
        begins a slow start, if it was healthy.
        """
        if refused:
            if self._refused_since is None:
                self._refused_since = now
            if not self.counts_refusals(now):
                self.cold_until = now + self._options.cold_start_s
        elif responded and self._refused_since is not None:
            self._refused_since = None
            if self.phase is Phase.HEALTHY:
                self.warm_up(now)

    def warm_up(self, now: float) -> None:
        """Start with little work, as after a restart."""
        self.cold_until = now + self._options.cold_start_s
        self._enter(Phase.SLOW_START, now)

    def failure_count(self, now: float, tally: Tally) -> int:
        """Return the number of outcomes in `tally` that count as failures.

        Timeouts of a cold target and refused connections of a restarting one don't
        count.
        """
        failed = tally.count_of(Outcome.ERROR)
        if now >= self.cold_until:
            failed += tally.count_of(Outcome.TIMEOUT)
        if self.counts_refusals(now):
            failed += tally.count_of(Outcome.REFUSED_CONNECTION)
        return failed

    def counts_refusals(self, now: float) -> bool:
        """Return whether refused connections have lasted longer than a restart."""
        since = self._refused_since
        return since is not None and now - since >= self._options.restart_s

    def eject(self, now: float) -> float:
        """Eject the target and return for how long, in seconds."""
        if self.phase is Phase.HEALTHY and self._history_expired(now):
            self._recent_ejections = 0
        self._hold_s = min(
            self._options.hold_s * 2.0**self._recent_ejections, self._options.max_hold_s
        )
        self._recent_ejections += 1
        self._enter(Phase.EJECTED, now)
        return self._hold_s

    def advance(self, now: float) -> bool:
        """Enter the next phase if it is due, and return whether it was."""
        if self.phase is Phase.EJECTED and now - self.since >= self._hold_s:
            self._enter(Phase.TRIAL, now)
            return True
        if (
            self.phase is Phase.TRIAL
            and self.trial_llr <= -self._options.trial_evidence
        ):
            self._enter(Phase.SLOW_START, now)
            return True
        if self.phase is Phase.SLOW_START and self.weight(now) >= 1.0:
            self._enter(Phase.HEALTHY, now)
            return True
        return False

    def weight(self, now: float) -> float:
        """Return the share of a healthy target's work, 0 to 1."""
        if self.phase is Phase.HEALTHY:
            return 1.0
        if self.phase is Phase.EJECTED:
            return 0.0
        min_weight = self._options.trial_weight
        if self.phase is Phase.TRIAL:
            return min_weight
        risen = (now - self.since) / self._options.slow_start_s
        return min(max(risen, min_weight), 1.0)

    def verdict(self, now: float) -> Verdict:
        """Return the verdict on the target."""
        if self.is_draining(now):
            began = self.draining_until - self._options.drain_s
            return Verdict(VerdictState.DRAINING, 0.0, began)
        state = VerdictState.SLOW_START
        if self.phase is Phase.HEALTHY:
            state = VerdictState.HEALTHY
        if self.phase is Phase.EJECTED:
            state = VerdictState.EJECTED
        return Verdict(state=state, weight=self.weight(now), since=self.since)

    def _history_expired(self, now: float) -> bool:
        return now - self.since >= self._options.forgive_s

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self.since = now
        self.trial_llr = 0.0
        self.errors.clear()
        self.slowness.clear()
