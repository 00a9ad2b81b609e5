"""Judges all targets of one service by the digests of the VMs that use it."""

from collections.abc import Sequence

from lacewingpond.config.model import Service
from lacewingpond.health.cusum import log_likelihood
from lacewingpond.health.decayed import DecayedRate
from lacewingpond.health.messages import TargetRecord, VerdictRow, target_hash
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.peers_rate import (
    MAX_RATE,
    SHORT_HALF_LIFE_S,
    PeersRate,
    cautious_rate,
)
from lacewingpond.health.sketch import BUCKET_COUNT, quantile_bucket
from lacewingpond.health.tally import Tally
from lacewingpond.health.target_health import Phase, TargetHealth
from lacewingpond.health.verdict import Verdict, VerdictState
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

NORMAL_SHARE = 0.9
"""Share of the answers of a service that are not slow, by definition."""
SLOW_MARGIN_BUCKETS = 1
VM_RATE_HALF_LIFE_S = 10.0
VM_RATE_PRIOR = 3.0
MAX_VMS = 4096
SUSPICION = 2.0
"""Evidence from which a VM tells the judge of a target; about one failure."""
ADOPT_S = 15.0
"""Age of a judge, in seconds, up to which it takes over former ejections."""
VM_FORGET_S = 60.0


class ServiceJudge:
    """Sequential tests of each target against its peers.

    Parameters
    ----------
    service : Service
        The service and its targets.
    options : HealthOptions
        Thresholds and times.
    clock : Clock
        Time source.
    log, metrics : DecisionLog, Metrics
        Where ejections and returns are told.
    min_vms : int or None
        Overrides the number of VMs that must agree; 1 for a VM that judges alone.
    max_ejected_share : float
        Share of the targets that may be out of work at once.
    what : str
        Kind of its decisions in the log.
    """

    __slots__ = (
        "_service",
        "_options",
        "_clock",
        "_log",
        "_metrics",
        "_min_vms",
        "_max_ejected_share",
        "_targets",
        "_slots",
        "_errors",
        "_slowness",
        "_latency_now",
        "_latency_long",
        "_latency_at",
        "_slow_bucket",
        "_vm_errors",
        "_vm_target_errors",
        "_vm_seen",
        "_pending",
        "_partial",
        "_started",
        "_what",
    )

    def __init__(
        self,
        service: Service,
        options: HealthOptions,
        clock: Clock,
        log: DecisionLog,
        metrics: Metrics,
        min_vms: int | None = None,
        max_ejected_share: float = 1.0,
        what: str = "health",
    ) -> None:
        self._what = what
        self._options = options
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._min_vms = min_vms
        self._max_ejected_share = max_ejected_share
        self._targets: dict[int, TargetHealth] = {}
        self._slots: dict[int, int] = {}
        self._errors = PeersRate(options.min_error_rate)
        self._slowness = PeersRate(options.min_slow_rate)
        self._latency_now = [0.0] * BUCKET_COUNT
        self._latency_long = [0.0] * BUCKET_COUNT
        self._latency_at = clock.now()
        self._slow_bucket = BUCKET_COUNT
        self._vm_errors: dict[str, DecayedRate] = {}
        self._vm_target_errors: dict[tuple[str, int], DecayedRate] = {}
        self._vm_seen: dict[str, float] = {}
        self._pending: dict[tuple[str, int], Tally] = {}
        self._partial: set[str] = set()
        self._started = clock.now()
        self.configure(service)

    def configure(self, service: Service) -> None:
        """Take over the service's targets and floor; draining ones are no capacity."""
        self._service = service
        now = self._clock.now()
        is_first = not self._targets
        wanted = {target_hash(t.target_id): t for t in service.targets}
        for gone in [key for key in self._targets if key not in wanted]:
            del self._targets[gone]
        for key, target in wanted.items():
            if key not in self._targets:
                health = TargetHealth(target.target_id, self._options, now)
                if not is_first:
                    health.warm_up(now)
                self._targets[key] = health
        self._slots = {
            key: 0 if target.draining else target.slots
            for key, target in wanted.items()
        }
        self._errors.keep(wanted)
        self._slowness.keep(wanted)

    def observe(
        self, vm_id: str, records: Sequence[TargetRecord], is_partial: bool = False
    ) -> None:
        """Take one VM's outcomes; they count at the next `evaluate`.

        Parameters
        ----------
        vm_id : str
            The VM that saw them.
        records : sequence of TargetRecord
            Its outcomes since its last digest.
        is_partial : bool
            True when the VM reports suspected targets only.
        """
        if vm_id not in self._vm_seen and len(self._vm_seen) >= MAX_VMS:
            self._metrics.incr("health.digest_dropped")
            return
        self._vm_seen[vm_id] = self._clock.now()
        if is_partial:
            self._partial.add(vm_id)
        else:
            self._partial.discard(vm_id)
        for record in records:
            if record.target not in self._targets:
                continue
            tally = self._pending.setdefault((vm_id, record.target), Tally())
            tally.merge(Tally.from_packed(record.counts))

    def adopt(self, rows: Sequence[VerdictRow]) -> None:
        """Take over a former judge's ejections, while this judge is new."""
        if self._clock.now() - self._started > ADOPT_S:
            return
        now = self._clock.now()
        for row in rows:
            target = self._targets.get(row.target)
            if target is None or target.phase is not Phase.HEALTHY:
                continue
            if row.state == VerdictState.DRAINING:
                target.drain(now)
            elif row.state == VerdictState.EJECTED and self._floor_allows(row.target):
                target.eject(now)

    def evaluate(self) -> bool:
        """Judge the outcomes since the last call; True when a verdict changed."""
        now = self._clock.now()
        pending, self._pending = self._pending, {}
        self._learn(now, pending)
        min_vms = self._agreeing_vms(now)
        for (vm_id, key), tally in pending.items():
            self._weigh(now, vm_id, key, tally)
        changed = self._drain(now, pending)
        for key, target in self._targets.items():
            changed |= self._decide(now, key, target, min_vms)
        self._forget(now)
        return changed

    def rows(self) -> tuple[VerdictRow, ...]:
        """Return the verdicts on all targets that are not healthy."""
        now = self._clock.now()
        rows = []
        for key, target in self._targets.items():
            verdict = target.verdict(now)
            if verdict.state is VerdictState.HEALTHY:
                continue
            age_s = int(now - verdict.since)
            rows.append(
                VerdictRow(key, verdict.state, round(verdict.weight * 255), age_s)
            )
        return tuple(rows)

    def verdict(self, target_id: str) -> Verdict | None:
        """Return the verdict on a target, or None when it is not known."""
        target = self._targets.get(target_hash(target_id))
        return target.verdict(self._clock.now()) if target else None

    def suspects(self) -> frozenset[int]:
        """Return the targets that at least one VM has some evidence against."""
        return frozenset(
            key
            for key, target in self._targets.items()
            if target.suspicion() >= SUSPICION
        )

    def vms(self) -> tuple[str, ...]:
        """Return the VMs that used the service of late."""
        return tuple(self._vm_seen)

    def _learn(self, now: float, pending: dict[tuple[str, int], Tally]) -> None:
        totals: dict[int, Tally] = {}
        for (vm_id, key), tally in pending.items():
            if vm_id not in self._partial:
                totals.setdefault(key, Tally()).merge(tally)
        self._learn_latency(now, totals)
        self._errors.begin(now)
        self._slowness.begin(now)
        for key, total in totals.items():
            self._learn_target(now, key, total)
        self._errors.settle()
        self._slowness.settle()

    def _learn_latency(self, now: float, totals: dict[int, Tally]) -> None:
        elapsed = now - self._latency_at
        self._latency_at = now
        short = 0.5 ** (elapsed / SHORT_HALF_LIFE_S)
        long = 0.5 ** (elapsed / VM_FORGET_S)
        self._latency_now = [count * short for count in self._latency_now]
        self._latency_long = [count * long for count in self._latency_long]
        for total in totals.values():
            for bucket, count in total.buckets():
                self._latency_now[bucket] += count
                self._latency_long[bucket] += count
        usual = max(
            quantile_bucket(self._latency_now, NORMAL_SHARE),
            quantile_bucket(self._latency_long, NORMAL_SHARE),
        )
        self._slow_bucket = usual + SLOW_MARGIN_BUCKETS

    def _learn_target(self, now: float, key: int, total: Tally) -> None:
        target = self._targets.get(key)
        if target is None:
            return
        ok = total.ok()
        refused = total.of(Outcome.REFUSED_CONNECTION)
        target.note_refusals(now, refused, ok)
        failed = target.failures(now, total)
        self._errors.add(now, key, failed, ok + failed)
        if now >= target.cold_until:
            self._slowness.add(now, key, total.slower_than(self._slow_bucket), ok)

    def _drain(self, now: float, pending: dict[tuple[str, int], Tally]) -> bool:
        changed = False
        for (_, key), tally in pending.items():
            target = self._targets.get(key)
            if target is not None and tally.of(Outcome.DRAINING):
                changed |= target.drain(now)
        return changed

    def _weigh(self, now: float, vm_id: str, key: int, tally: Tally) -> None:
        target = self._targets.get(key)
        if target is None or target.phase is Phase.EJECTED:
            return
        ok = tally.ok()
        failed = target.failures(now, tally)
        healthy = self._errors.beside(key)
        vm_healthy = self._vm_beside(now, vm_id, key, failed, ok + failed)
        is_partial = vm_id in self._partial
        target.errors.add(vm_id, failed, ok + failed, healthy, vm_healthy, is_partial)
        slow = 0
        if now >= target.cold_until:
            slow = tally.slower_than(self._slow_bucket)
            normal = self._slowness.beside(key)
            target.slowness.add(vm_id, slow, ok, normal, normal, is_partial)
        if target.phase is Phase.TRIAL and not is_partial:
            excess = self._options.excess_rate
            target.trial += log_likelihood(failed + slow, ok + failed, healthy, excess)

    def _vm_beside(
        self, now: float, vm_id: str, key: int, bad: int, total: int
    ) -> float:
        whole = self._vm_errors.get(vm_id)
        if whole is None:
            whole = self._vm_errors[vm_id] = DecayedRate(VM_RATE_HALF_LIFE_S)
        own = self._vm_target_errors.get((vm_id, key))
        if own is None:
            own = self._vm_target_errors[vm_id, key] = DecayedRate(VM_RATE_HALF_LIFE_S)
        whole.add(now, bad, total)
        own.add(now, bad, total)
        other_bad = max(whole.bad - own.bad, 0.0)
        other_total = max(whole.total - own.total, 0.0)
        least = self._options.min_error_rate
        rate = cautious_rate(other_bad, other_total, least, VM_RATE_PRIOR)
        return min(rate, MAX_RATE)

    def _decide(self, now: float, key: int, target: TargetHealth, min_vms: int) -> bool:
        if target.phase is Phase.EJECTED or not self._is_unhealthy(target, min_vms):
            return self._move_on(now, target)
        if not self._floor_allows(key):
            self._metrics.incr(f"{self._what}.ejection_withheld")
            self._tell(target, "ejection withheld: the floor would be crossed")
            target.errors.clear()
            target.slowness.clear()
            return False
        hold_s = target.eject(now)
        self._metrics.incr(f"{self._what}.ejected")
        self._tell(target, "ejected: fails or lags beside its peers", hold_s=hold_s)
        return True

    def _is_unhealthy(self, target: TargetHealth, min_vms: int) -> bool:
        if target.strength(min_vms) >= self._options.threshold:
            return True
        on_trial = target.phase is Phase.TRIAL
        return on_trial and target.trial >= self._options.trial_evidence

    def _move_on(self, now: float, target: TargetHealth) -> bool:
        if not target.advance(now):
            return False
        self._metrics.incr(f"{self._what}.{target.phase.value}")
        self._tell(target, f"moves on to {target.phase.value}")
        return True

    def _tell(self, target: TargetHealth, why: str, **fields: object) -> None:
        self._log.decision(
            self._what, target.target_id, why, service=self._service.name, **fields
        )

    def _floor_allows(self, key: int) -> bool:
        usable = sum(
            slots
            for other, slots in self._slots.items()
            if other != key and self._is_usable(self._targets[other])
        )
        total = sum(target.slots for target in self._service.targets)
        if usable < self._service.floor * total:
            return False
        out = 1 + sum(t.phase is Phase.EJECTED for t in self._targets.values())
        return out <= max(1.0, self._max_ejected_share * len(self._targets))

    def _is_usable(self, target: TargetHealth) -> bool:
        if target.phase is Phase.EJECTED:
            return False
        return not target.is_draining(self._clock.now())

    def _agreeing_vms(self, now: float) -> int:
        if self._min_vms is not None:
            return self._min_vms
        half = (len(self._vm_seen) + 1) // 2
        return max(1, min(self._options.min_vms, half))

    def _forget(self, now: float) -> None:
        gone = {vm for vm, seen in self._vm_seen.items() if now - seen > VM_FORGET_S}
        for vm_id in gone:
            del self._vm_seen[vm_id]
            self._partial.discard(vm_id)
            self._vm_errors.pop(vm_id, None)
        stale = [
            pair
            for pair in self._vm_target_errors
            if pair[0] in gone or pair[1] not in self._targets
        ]
        for pair in stale:
            del self._vm_target_errors[pair]
