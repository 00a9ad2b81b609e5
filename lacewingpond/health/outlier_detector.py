"""Outlier detection among the targets of one service."""

from collections.abc import Sequence

from lacewingpond.config.model import Service
from lacewingpond.health.cusum import log_likelihood_ratio
from lacewingpond.health.decayed import DecayedRate
from lacewingpond.health.latency_buckets import BUCKET_COUNT, quantile_bucket
from lacewingpond.health.messages import TargetRecord, VerdictRow, target_hash
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.peer_rates import (
    MAX_RATE,
    SHORT_HALF_LIFE_S,
    PeerRates,
    lower_bound_rate,
)
from lacewingpond.health.tally import Tally
from lacewingpond.health.target_health import Phase, TargetHealth
from lacewingpond.health.verdict import Verdict, VerdictState
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

NORMAL_QUANTILE = 0.9
"""Quantile of a service's latency up to which a response counts as normal."""
SLOW_MARGIN_BUCKETS = 1  # buckets above the normal one that are not slow yet
VM_RATE_HALF_LIFE_S = 10.0
VM_RATE_PRIOR_OUTCOMES = 3.0
MAX_VMS = 4096
SUSPECT_EVIDENCE = 2.0
"""Evidence at which a VM reports a target to the detector; about one failure."""
RESTORE_WINDOW_S = 15.0
"""Age of a detector up to which it accepts verdicts of the previous owner."""
VM_EXPIRY_S = 60.0  # also the half-life of the long-term latency


class OutlierDetector:
    """Ejects targets that fail or are slow compared with their peers.

    It runs a sequential test for each target on the outcomes that VMs report.

    Parameters
    ----------
    service : Service
        The service and its targets.
    options : HealthOptions
        Thresholds and durations.
    clock : Clock
        Time source.
    log, metrics : DecisionLog, Metrics
        Record ejections and returns.
    min_vms : int or None
        Number of VMs that must agree, in place of the one in `options`; 1 for a
        detector that uses one VM's outcomes.
    max_ejected_share : float
        Largest share of the targets that may be ejected at once.
    event : str
        Event name in the decision log, and prefix of the metrics.
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
        "_error_rates",
        "_slow_rates",
        "_latency_short",
        "_latency_long",
        "_latency_updated_at",
        "_slow_bucket",
        "_vm_error_rates",
        "_vm_target_error_rates",
        "_vm_last_seen",
        "_pending",
        "_partial_vms",
        "_started",
        "_event",
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
        event: str = "health",
    ) -> None:
        self._event = event
        self._options = options
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._min_vms = min_vms
        self._max_ejected_share = max_ejected_share
        self._targets: dict[int, TargetHealth] = {}
        self._slots: dict[int, int] = {}
        self._error_rates = PeerRates(options.min_error_rate)
        self._slow_rates = PeerRates(options.min_slow_rate)
        self._latency_short = [0.0] * BUCKET_COUNT
        self._latency_long = [0.0] * BUCKET_COUNT
        self._latency_updated_at = clock.now()
        self._slow_bucket = BUCKET_COUNT
        self._vm_error_rates: dict[str, DecayedRate] = {}
        self._vm_target_error_rates: dict[tuple[str, int], DecayedRate] = {}
        self._vm_last_seen: dict[str, float] = {}
        self._pending: dict[tuple[str, int], Tally] = {}
        self._partial_vms: set[str] = set()
        self._started = clock.now()
        self.configure(service)

    def configure(self, service: Service) -> None:
        """Apply the service's targets and floor.

        Targets that the configuration drains don't count as capacity. Targets added
        to a service that already has some start with little work.
        """
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
        self._error_rates.keep_only(wanted)
        self._slow_rates.keep_only(wanted)

    def observe(
        self, vm_id: str, records: Sequence[TargetRecord], is_partial: bool = False
    ) -> None:
        """Store one VM's outcomes until the next `evaluate`.

        Parameters
        ----------
        vm_id : str
            The VM that reports them.
        records : sequence of TargetRecord
            Outcomes since its last digest.
        is_partial : bool
            True when the VM reports suspected targets only.
        """
        if vm_id not in self._vm_last_seen and len(self._vm_last_seen) >= MAX_VMS:
            self._metrics.incr("health.digest_dropped")
            return
        self._vm_last_seen[vm_id] = self._clock.now()
        if is_partial:
            self._partial_vms.add(vm_id)
        else:
            self._partial_vms.discard(vm_id)
        for record in records:
            if record.target not in self._targets:
                continue
            tally = self._pending.setdefault((vm_id, record.target), Tally())
            tally.merge(Tally.from_packed(record.counts))

    def restore_verdicts(self, rows: Sequence[VerdictRow]) -> None:
        """Apply the previous owner's ejected and draining targets.

        Does nothing once this detector is older than `RESTORE_WINDOW_S`.
        """
        if self._clock.now() - self._started > RESTORE_WINDOW_S:
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
        """Update all targets by the outcomes since the last call.

        Returns
        -------
        bool
            Whether a target entered another phase or began to drain. The slow start
            after a restart does not count.
        """
        now = self._clock.now()
        pending, self._pending = self._pending, {}
        self._update_baselines(now, pending)
        min_vms = self._required_vms(now)
        for (vm_id, key), tally in pending.items():
            self._add_evidence(now, vm_id, key, tally)
        changed = self._update_draining(now, pending)
        for key, target in self._targets.items():
            changed |= self._update_phase(now, key, target, min_vms)
        self._expire_vms(now)
        return changed

    def verdict_rows(self) -> tuple[VerdictRow, ...]:
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
        """Return the verdict on a target, or None if the service has no such target."""
        target = self._targets.get(target_hash(target_id))
        return target.verdict(self._clock.now()) if target else None

    def suspects(self) -> frozenset[int]:
        """Return the hashes of the targets that at least one VM suspects."""
        return frozenset(
            key
            for key, target in self._targets.items()
            if target.suspicion() >= SUSPECT_EVIDENCE
        )

    def vms(self) -> tuple[str, ...]:
        """Return the VMs that reported within the last `VM_EXPIRY_S`."""
        return tuple(self._vm_last_seen)

    def _update_baselines(
        self, now: float, pending: dict[tuple[str, int], Tally]
    ) -> None:
        """Update the normal failure rate and latency, and detect restarts."""
        totals: dict[int, Tally] = {}
        for (vm_id, key), tally in pending.items():
            if vm_id not in self._partial_vms:
                totals.setdefault(key, Tally()).merge(tally)
        self._update_slow_bucket(now, totals)
        self._error_rates.begin_period(now)
        self._slow_rates.begin_period(now)
        for key, total in totals.items():
            self._update_target_baseline(now, key, total)
        self._error_rates.end_period()
        self._slow_rates.end_period()

    def _update_slow_bucket(self, now: float, totals: dict[int, Tally]) -> None:
        elapsed = now - self._latency_updated_at
        self._latency_updated_at = now
        short_decay = 0.5 ** (elapsed / SHORT_HALF_LIFE_S)
        long_decay = 0.5 ** (elapsed / VM_EXPIRY_S)
        self._latency_short = [count * short_decay for count in self._latency_short]
        self._latency_long = [count * long_decay for count in self._latency_long]
        for total in totals.values():
            for bucket, count in total.buckets():
                self._latency_short[bucket] += count
                self._latency_long[bucket] += count
        normal_bucket = max(
            quantile_bucket(self._latency_short, NORMAL_QUANTILE),
            quantile_bucket(self._latency_long, NORMAL_QUANTILE),
        )
        self._slow_bucket = normal_bucket + SLOW_MARGIN_BUCKETS

    def _update_target_baseline(self, now: float, key: int, total: Tally) -> None:
        target = self._targets.get(key)
        if target is None:
            return
        ok = total.ok_count()
        refused = total.count_of(Outcome.REFUSED_CONNECTION)
        target.track_refusals(now, refused, ok)
        failed = target.failure_count(now, total)
        self._error_rates.add(now, key, failed, ok + failed)
        if now >= target.cold_until:
            self._slow_rates.add(now, key, total.slower_than(self._slow_bucket), ok)

    def _update_draining(
        self, now: float, pending: dict[tuple[str, int], Tally]
    ) -> bool:
        changed = False
        for (_, key), tally in pending.items():
            target = self._targets.get(key)
            if target is not None and tally.count_of(Outcome.DRAINING):
                changed |= target.drain(now)
        return changed

    def _add_evidence(self, now: float, vm_id: str, key: int, tally: Tally) -> None:
        target = self._targets.get(key)
        if target is None or target.phase is Phase.EJECTED:
            return
        ok = tally.ok_count()
        failed = target.failure_count(now, tally)
        healthy = self._error_rates.peer_rate(key)
        vm_healthy = self._update_vm_peer_rate(now, vm_id, key, failed, ok + failed)
        is_partial = vm_id in self._partial_vms
        target.errors.add(vm_id, failed, ok + failed, healthy, vm_healthy, is_partial)
        slow = 0
        if now >= target.cold_until:
            slow = tally.slower_than(self._slow_bucket)
            normal = self._slow_rates.peer_rate(key)
            target.slowness.add(vm_id, slow, ok, normal, normal, is_partial)
        if target.phase is Phase.TRIAL and not is_partial:
            excess = self._options.excess_rate
            target.trial_llr += log_likelihood_ratio(
                failed + slow, ok + failed, healthy, excess
            )

    def _update_vm_peer_rate(
        self, now: float, vm_id: str, key: int, bad: int, total: int
    ) -> float:
        """Count one VM's outcomes; return the normal rate at its other targets."""
        vm_rate = self._vm_error_rates.get(vm_id)
        if vm_rate is None:
            vm_rate = self._vm_error_rates[vm_id] = DecayedRate(VM_RATE_HALF_LIFE_S)
        target_rate = self._vm_target_error_rates.get((vm_id, key))
        if target_rate is None:
            target_rate = self._vm_target_error_rates[vm_id, key] = DecayedRate(
                VM_RATE_HALF_LIFE_S
            )
        vm_rate.add(now, bad, total)
        target_rate.add(now, bad, total)
        other_bad = max(vm_rate.bad - target_rate.bad, 0.0)
        other_total = max(vm_rate.total - target_rate.total, 0.0)
        min_rate = self._options.min_error_rate
        rate = lower_bound_rate(
            other_bad, other_total, min_rate, VM_RATE_PRIOR_OUTCOMES
        )
        return min(rate, MAX_RATE)

    def _update_phase(
        self, now: float, key: int, target: TargetHealth, min_vms: int
    ) -> bool:
        if target.phase is Phase.EJECTED or not self._is_unhealthy(target, min_vms):
            return self._advance_phase(now, target)
        if not self._floor_allows(key):
            self._metrics.incr(f"{self._event}.ejection_withheld")
            self._log_decision(
                target, "ejection withheld: capacity would fall below the floor"
            )
            target.errors.clear()
            target.slowness.clear()
            return False
        hold_s = target.eject(now)
        self._metrics.incr(f"{self._event}.ejected")
        self._log_decision(
            target,
            "ejected: more failures or slow responses than its peers",
            hold_s=hold_s,
        )
        return True

    def _is_unhealthy(self, target: TargetHealth, min_vms: int) -> bool:
        if target.strength(min_vms) >= self._options.threshold:
            return True
        on_trial = target.phase is Phase.TRIAL
        return on_trial and target.trial_llr >= self._options.trial_evidence

    def _advance_phase(self, now: float, target: TargetHealth) -> bool:
        if not target.advance(now):
            return False
        self._metrics.incr(f"{self._event}.{target.phase.value}")
        self._log_decision(target, f"enters phase {target.phase.value}")
        return True

    def _log_decision(self, target: TargetHealth, why: str, **fields: object) -> None:
        self._log.decision(
            self._event, target.target_id, why, service=self._service.name, **fields
        )

    def _floor_allows(self, key: int) -> bool:
        """Return whether the floor and the largest ejected share allow an ejection."""
        usable = sum(
            slots
            for other, slots in self._slots.items()
            if other != key and self._is_usable(self._targets[other])
        )
        total = sum(target.slots for target in self._service.targets)
        if usable < self._service.floor * total:
            return False
        ejected = 1 + sum(t.phase is Phase.EJECTED for t in self._targets.values())
        return ejected <= max(1.0, self._max_ejected_share * len(self._targets))

    def _is_usable(self, target: TargetHealth) -> bool:
        if target.phase is Phase.EJECTED:
            return False
        return not target.is_draining(self._clock.now())

    def _required_vms(self, now: float) -> int:
        if self._min_vms is not None:
            return self._min_vms
        half = (len(self._vm_last_seen) + 1) // 2
        return max(1, min(self._options.min_vms, half))

    def _expire_vms(self, now: float) -> None:
        gone = {
            vm for vm, seen in self._vm_last_seen.items() if now - seen > VM_EXPIRY_S
        }
        for vm_id in gone:
            del self._vm_last_seen[vm_id]
            self._partial_vms.discard(vm_id)
            self._vm_error_rates.pop(vm_id, None)
        stale = [
            pair
            for pair in self._vm_target_error_rates
            if pair[0] in gone or pair[1] not in self._targets
        ]
        for pair in stale:
            del self._vm_target_error_rates[pair]
