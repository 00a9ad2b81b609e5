"""Reports outcomes to the outlier detectors, runs the owned ones, keeps verdicts."""

import gevent
import msgspec

from lacewingpond.config.model import Config, Service
from lacewingpond.health.messages import (
    HealthDigest,
    HealthVerdicts,
    ServiceDigest,
    ServiceVerdicts,
)
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.outlier_detector import OutlierDetector
from lacewingpond.health.service_health import ServiceHealth
from lacewingpond.health.verdict import HEALTHY, Verdict, VerdictState
from lacewingpond.shards.base import Ownership
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.util.rendezvous import score, shard_of

HASH_RANGE = 2.0**64
HEARTBEAT_PERIODS = 3
"""Periods between digests of a VM that has no outcomes to report."""
PERIOD_JITTER = 0.1
SERVICE_IDLE_S = 60.0
"""Time without requests after which a service is no longer reported."""
FAILURES = frozenset({Outcome.ERROR, Outcome.TIMEOUT})


class HealthReporter:
    """One VM's part in the fleet's outlier detection; a `ShardComponent`.

    The owner of a service's shard runs the outlier detector of the service. This
    class sends it a digest of the outcomes of real requests each period and applies
    its verdicts; it also runs the detectors of the services that this VM owns. While
    no verdicts arrive, the VM uses a local detector with a separate threshold, on
    its own outcomes.
    """

    __slots__ = (
        "name",
        "_options",
        "_vm_id",
        "_clock",
        "_rng",
        "_channel",
        "_shards",
        "_log",
        "_metrics",
        "_services",
        "_detectors",
        "_fleet_size",
        "_periods",
        "_loop",
    )

    def __init__(self, options: HealthOptions, ctx: ComponentContext) -> None:
        self.name = "health"
        self._options = options
        self._vm_id = ctx.vm_id
        self._clock = ctx.clock
        self._rng = ctx.rng
        self._channel = ctx.channel
        self._shards = ctx.shards
        self._log = ctx.log
        self._metrics = ctx.metrics
        self._services: dict[str, ServiceHealth] = {}
        self._detectors: dict[str, OutlierDetector] = {}
        self._fleet_size = options.fleet_size
        self._periods = 0
        self._loop: gevent.Greenlet | None = None
        ctx.channel.register(HealthDigest, self._on_digest)
        ctx.channel.register(HealthVerdicts, self._on_verdicts)

    @classmethod
    def from_options(
        cls, options: HealthOptions, ctx: ComponentContext
    ) -> "HealthReporter":
        """Return a reporter whose message handlers are registered with the channel."""
        return cls(options, ctx)

    def start(self) -> None:
        """Start the greenlet that sends digests and runs the detectors."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the greenlet."""
        if self._loop is not None:
            self._loop.kill()
            self._loop = None

    def configure(self, cfg: Config) -> None:
        """Apply the services and targets of a configuration."""
        wanted = {service.name: service for service in cfg.services}
        for gone in [name for name in self._services if name not in wanted]:
            del self._services[gone]
            self._detectors.pop(gone, None)
        for name, service in wanted.items():
            self._configure_service(name, service)

    def set_fleet_size(self, vm_count: int) -> None:
        """Set the number of live VMs, of which `panel_size` report all outcomes."""
        self._fleet_size = max(vm_count, 1)

    def record(
        self,
        service: str,
        target_id: str,
        outcome: Outcome,
        latency_s: float,
        poison_suspect: bool = False,
    ) -> None:
        """Count the outcome of one request; unknown services are ignored.

        Parameters
        ----------
        service, target_id : str
            Service and target to which the request was sent.
        outcome : Outcome
            How it ended.
        latency_s : float
            Time from sending it to its end, in seconds.
        poison_suspect : bool
            True when the request is suspected of crashing targets; its failure is
            no evidence against the target.
        """
        health = self._services.get(service)
        if health is None:
            return
        if poison_suspect and outcome in FAILURES:
            outcome = Outcome.POISON
        health.record(self._clock.now(), target_id, outcome, latency_s)

    def reclassify_timeouts(self, target_id: str, count: int) -> None:
        """Count timeouts as silent connections, which are no evidence.

        This covers the current period only; earlier ones are already reported.

        Parameters
        ----------
        target_id : str
            Target that responds on newer connections.
        count : int
            Number of timeouts on older connections.
        """
        for health in self._services.values():
            health.reclassify_timeouts(target_id, count)

    def verdict(self, service: str, target_id: str) -> Verdict:
        """Return the verdict that this VM applies; unknown services are healthy.

        It is the shard owner's, or the local detector's while none arrives, lowered by
        what this VM saw: its own ejection, a draining response, a refused connection.
        """
        health = self._services.get(service)
        if health is None:
            return HEALTHY
        now = self._clock.now()
        if health.drained_within(now, target_id, self._options.drain_s):
            return Verdict(VerdictState.DRAINING, 0.0)
        verdict = self._effective_verdict(health, now, target_id)
        backoff_s = self._options.connect_backoff_s
        if verdict.weight > 0.0 and health.refused_within(now, target_id, backoff_s):
            weight = min(verdict.weight, self._options.trial_weight)
            return Verdict(VerdictState.SLOW_START, weight, verdict.since)
        return verdict

    def uses_local_verdicts(self, service: str) -> bool:
        """Return whether this VM uses the local detector's verdicts on `service`."""
        health = self._services.get(service)
        return health is not None and self._has_stale_verdicts(
            health, self._clock.now()
        )

    def tick(self) -> None:
        """Send the digests of one period and run the detectors of owned services."""
        by_owner: dict[str, list[ServiceDigest]] = {}
        self._periods += 1
        now = self._clock.now()
        for name, health in self._services.items():
            self._tick_service(now, name, health, by_owner)
        for owner, digests in by_owner.items():
            self._metrics.incr("health.digest_sent")
            if not self._channel.send(owner, HealthDigest(tuple(digests))):
                self._metrics.incr("health.digest_not_sent")
        self._evaluate()

    def release(self, shard: int) -> bytes:
        """Stop the detectors of `shard` and return their verdicts, encoded."""
        state = []
        for name in self._detectors_in(shard):
            detector = self._detectors.pop(name)
            state.append(ServiceVerdicts(name, detector.verdict_rows()))
        return msgspec.msgpack.encode(state)

    def acquire(self, ownership: Ownership, state: bytes | None) -> None:
        """Apply the ejected and draining targets that the previous owner handed over.

        Without a handover, the VMs' next digests tell them as `prior_verdicts`.
        """
        if state is None:
            return
        try:
            verdicts = msgspec.msgpack.decode(state, type=list[ServiceVerdicts])
        except msgspec.DecodeError as exc:
            self._log.decision(
                "health", str(ownership.shard), f"handed-over state is malformed: {exc}"
            )
            return
        for item in verdicts:
            detector = self._detector(item.service)
            if detector is not None:
                detector.restore_verdicts(item.rows)

    def _run(self) -> None:
        while True:
            jitter = self._rng.uniform(-PERIOD_JITTER, PERIOD_JITTER)
            self._clock.sleep(self._options.period_s * (1.0 + jitter))
            self.tick()

    def _configure_service(self, name: str, service: Service) -> None:
        health = self._services.get(name)
        if health is None:
            self._services[name] = ServiceHealth(
                service, self._build_local_detector, self._clock.now()
            )
        elif health.service != service:
            health.configure(service)
        detector = self._detectors.get(name)
        if detector is not None:
            detector.configure(service)

    def _build_detector(self, service: Service) -> OutlierDetector:
        return OutlierDetector(
            service, self._options, self._clock, self._log, self._metrics
        )

    def _build_local_detector(self, service: Service) -> OutlierDetector:
        options = msgspec.structs.replace(
            self._options, threshold=self._options.alone_threshold
        )
        return OutlierDetector(
            service,
            options,
            self._clock,
            self._log,
            self._metrics,
            min_vms=1,
            max_ejected_share=options.alone_max_share,
            event="path",
        )

    def _tick_service(
        self,
        now: float,
        name: str,
        health: ServiceHealth,
        by_owner: dict[str, list[ServiceDigest]],
    ) -> None:
        if now - health.last_used_at > SERVICE_IDLE_S:
            health.verdicts_at = now
            health.drop_local_detector()
            return
        records = health.take_records()
        health.local_detector.observe(self._vm_id, records)
        health.local_detector.evaluate()
        owner = self._shards.owner(shard_of(name, self._shards.shard_count))
        if owner is None:
            return
        # A new owner is told the verdicts of the previous one.
        prior = (
            health.out_of_service_rows() if owner.vm_id != health.detector_vm_id else ()
        )
        is_partial = not self._is_on_panel(name)
        if is_partial:
            health.unsent.add(now, records)
            records = health.unsent.take(health.local_detector.suspects())
            if not records and not prior and self._periods % HEARTBEAT_PERIODS:
                return
        digest = ServiceDigest(name, records, prior, is_partial)
        if owner.vm_id == self._vm_id:
            self._observe_digest(self._vm_id, digest)
            return
        by_owner.setdefault(owner.vm_id, []).append(digest)

    def _is_on_panel(self, name: str) -> bool:
        """Return whether this VM reports all its outcomes of a service."""
        share = self._options.panel_size / self._fleet_size
        return score(name, self._vm_id) < share * HASH_RANGE

    def _effective_verdict(
        self, health: ServiceHealth, now: float, target_id: str
    ) -> Verdict:
        own = health.local_verdict(target_id) or HEALTHY
        if self._has_stale_verdicts(health, now):
            return own
        fleet_verdict = health.fleet_verdict(target_id) or HEALTHY
        if own.state is VerdictState.EJECTED and fleet_verdict.weight > 0.0:
            # Only this VM's path may be faulty while the fleet's verdict differs, so
            # the target keeps a small share of this VM's work.
            weight = min(fleet_verdict.weight, self._options.trial_weight)
            return Verdict(VerdictState.SLOW_START, weight, own.since)
        return fleet_verdict

    def _has_stale_verdicts(self, health: ServiceHealth, now: float) -> bool:
        """Return whether no verdicts arrived from the shard owner for `lapse_s`."""
        return now - health.verdicts_at > self._options.lapse_s

    def _detector(self, name: str) -> OutlierDetector | None:
        """Return the detector of a service, or None if this VM doesn't own its shard.

        Builds the detector when it is first needed and drops it with the ownership.
        """
        health = self._services.get(name)
        if health is None:
            return None
        shard = shard_of(name, self._shards.shard_count)
        if self._shards.active_ownership(shard) is None:
            self._detectors.pop(name, None)
            return None
        if name not in self._detectors:
            self._detectors[name] = self._build_detector(health.service)
        return self._detectors[name]

    def _detectors_in(self, shard: int) -> list[str]:
        count = self._shards.shard_count
        return [name for name in self._detectors if shard_of(name, count) == shard]

    def _evaluate(self) -> None:
        for name in list(self._detectors):
            detector = self._detector(name)
            if detector is None:
                continue
            changed = detector.evaluate()
            self._apply_own_verdicts(name, detector)
            if changed:
                self._push_verdicts(name, detector)

    def _apply_own_verdicts(self, name: str, detector: OutlierDetector) -> None:
        health = self._services.get(name)
        if health is not None:
            health.set_verdicts(self._clock.now(), self._vm_id, detector.verdict_rows())

    def _push_verdicts(self, name: str, detector: OutlierDetector) -> None:
        message = HealthVerdicts((ServiceVerdicts(name, detector.verdict_rows()),))
        for vm_id in detector.vms():
            if vm_id != self._vm_id:
                self._channel.send(vm_id, message)

    def _observe_digest(
        self, sender: str, digest: ServiceDigest
    ) -> OutlierDetector | None:
        detector = self._detector(digest.service)
        if detector is None:
            return None
        detector.observe(sender, digest.records, digest.is_partial)
        detector.restore_verdicts(digest.prior_verdicts)
        return detector

    def _on_digest(self, sender: str, message: HealthDigest) -> None:
        verdicts = []
        for digest in message.digests:
            detector = self._observe_digest(sender, digest)
            if detector is not None:
                verdicts.append(
                    ServiceVerdicts(digest.service, detector.verdict_rows())
                )
        if verdicts:
            self._channel.send(sender, HealthVerdicts(tuple(verdicts)))

    def _on_verdicts(self, sender: str, message: HealthVerdicts) -> None:
        now = self._clock.now()
        for item in message.verdicts:
            health = self._services.get(item.service)
            if health is not None and self._is_owner(sender, item.service):
                health.set_verdicts(now, sender, item.rows)

    def _is_owner(self, sender: str, name: str) -> bool:
        owner = self._shards.owner(shard_of(name, self._shards.shard_count))
        return owner is not None and owner.vm_id == sender
