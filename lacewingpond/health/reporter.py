"""Reports outcomes to the judges, judges owned services, and holds verdicts."""

import gevent
import msgspec

from lacewingpond.config.model import Config, Service
from lacewingpond.health.judge import ServiceJudge
from lacewingpond.health.messages import (
    HealthDigest,
    HealthVerdicts,
    ServiceDigest,
    ServiceVerdicts,
)
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.service_health import ServiceHealth
from lacewingpond.health.verdict import HEALTHY, Verdict, VerdictState
from lacewingpond.shards.base import Ownership
from lacewingpond.shards.part_context import PartContext
from lacewingpond.util.rendezvous import score, shard_of

HASH_RANGE = 2.0**64
HEARTBEAT_PERIODS = 3
"""Periods between digests of a VM that has nothing to tell."""
PERIOD_JITTER = 0.1
IDLE_S = 60.0
"""A service without requests for so long is no longer reported."""
FAILURES = frozenset({Outcome.ERROR, Outcome.TIMEOUT})


class HealthReporter:
    """One VM's part in the judgement of targets.

    The owner of a service's shard judges the service. This class sends it a
    digest of real outcomes each period and applies its verdicts; it also holds
    the judges of the services that this VM owns. While a judge can't be heard,
    the VM judges alone, with a higher threshold. It is a `ShardPart`.
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
        "_judges",
        "_fleet_size",
        "_periods",
        "_loop",
    )

    def __init__(self, options: HealthOptions, ctx: PartContext) -> None:
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
        self._judges: dict[str, ServiceJudge] = {}
        self._fleet_size = options.fleet_size
        self._periods = 0
        self._loop: gevent.Greenlet | None = None
        ctx.channel.register(HealthDigest, self._on_digest)
        ctx.channel.register(HealthVerdicts, self._on_verdicts)

    @classmethod
    def from_options(cls, options: HealthOptions, ctx: PartContext) -> "HealthReporter":
        """Build a reporter and register its messages with `channel`."""
        return cls(options, ctx)

    def start(self) -> None:
        """Start the greenlet that sends digests and judges."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the greenlet."""
        if self._loop is not None:
            self._loop.kill()
            self._loop = None

    def configure(self, cfg: Config) -> None:
        """Take over the services and targets of a revision."""
        wanted = {service.name: service for service in cfg.services}
        for gone in [name for name in self._services if name not in wanted]:
            del self._services[gone]
            self._judges.pop(gone, None)
        for name, service in wanted.items():
            self._configure_service(name, service)

    def set_fleet_size(self, vm_count: int) -> None:
        """Take over the number of live VMs that may use the same services."""
        self._fleet_size = max(vm_count, 1)

    def record(
        self,
        service: str,
        target_id: str,
        outcome: Outcome,
        latency_s: float,
        poison_suspect: bool = False,
    ) -> None:
        """Count the outcome of one request.

        Parameters
        ----------
        service, target_id : str
            Where it was sent.
        outcome : Outcome
            How it ended.
        latency_s : float
            Time from sending to the end, in seconds.
        poison_suspect : bool
            True when the request is suspected of crashing targets; its failure
            does not count against the target.
        """
        held = self._services.get(service)
        if held is None:
            return
        if poison_suspect and outcome in FAILURES:
            outcome = Outcome.POISON
        held.record(self._clock.now(), target_id, outcome, latency_s)

    def blame_connections(self, target_id: str, count: int) -> None:
        """Take back timeouts that silent connections turn out to have caused.

        Only those of the current period; the judge has the earlier ones already.

        Parameters
        ----------
        target_id : str
            The target that answers on newer connections.
        count : int
            Timeouts on the older ones.
        """
        for held in self._services.values():
            held.blame_connections(target_id, count)

    def verdict(self, service: str, target_id: str) -> Verdict:
        """Return what placement may do with a target."""
        held = self._services.get(service)
        if held is None:
            return HEALTHY
        now = self._clock.now()
        if held.drained_within(now, target_id, self._options.drain_s):
            return Verdict(VerdictState.DRAINING, 0.0)
        found = self._judged(held, now, target_id)
        backoff_s = self._options.connect_backoff_s
        if found.weight > 0.0 and held.refused_within(now, target_id, backoff_s):
            weight = min(found.weight, self._options.trial_weight)
            return Verdict(VerdictState.SLOW_START, weight, found.since)
        return found

    def is_alone(self, service: str) -> bool:
        """Return whether this VM judges `service` by its own outcomes only."""
        held = self._services.get(service)
        return held is not None and self._is_lapsed(held, self._clock.now())

    def tick(self) -> None:
        """Send the digests of one period and judge the owned services."""
        by_owner: dict[str, list[ServiceDigest]] = {}
        self._periods += 1
        now = self._clock.now()
        for name, held in self._services.items():
            self._tick_service(now, name, held, by_owner)
        for owner, digests in by_owner.items():
            self._metrics.incr("health.digest_sent")
            if not self._channel.send(owner, HealthDigest(tuple(digests))):
                self._metrics.incr("health.digest_not_sent")
        self._evaluate()

    def release(self, shard: int) -> bytes:
        """Stop judging the services of `shard` and return its ejections."""
        state = []
        for name in self._judged_in(shard):
            judge = self._judges.pop(name)
            state.append(ServiceVerdicts(name, judge.rows()))
        return msgspec.msgpack.encode(state)

    def adopt(self, ownership: Ownership, state: bytes | None) -> None:
        """Take over the ejections of the former owner, when it left any."""
        if state is None:
            return
        try:
            verdicts = msgspec.msgpack.decode(state, type=list[ServiceVerdicts])
        except msgspec.DecodeError as exc:
            self._log.decision("health", str(ownership.shard), f"bad state: {exc}")
            return
        for item in verdicts:
            judge = self._judge(item.service)
            if judge is not None:
                judge.adopt(item.rows)

    def _run(self) -> None:
        while True:
            jitter = self._rng.uniform(-PERIOD_JITTER, PERIOD_JITTER)
            self._clock.sleep(self._options.period_s * (1.0 + jitter))
            self.tick()

    def _configure_service(self, name: str, service: Service) -> None:
        held = self._services.get(name)
        if held is None:
            self._services[name] = ServiceHealth(
                service, self._build_alone, self._clock.now()
            )
        elif held.service != service:
            held.configure(service)
        judge = self._judges.get(name)
        if judge is not None:
            judge.configure(service)

    def _build_judge(self, service: Service) -> ServiceJudge:
        return ServiceJudge(
            service, self._options, self._clock, self._log, self._metrics
        )

    def _build_alone(self, service: Service) -> ServiceJudge:
        options = msgspec.structs.replace(
            self._options, threshold=self._options.alone_threshold
        )
        return ServiceJudge(
            service,
            options,
            self._clock,
            self._log,
            self._metrics,
            min_vms=1,
            max_ejected_share=options.alone_max_share,
            what="path",
        )

    def _tick_service(
        self,
        now: float,
        name: str,
        held: ServiceHealth,
        by_owner: dict[str, list[ServiceDigest]],
    ) -> None:
        if now - held.used_at > IDLE_S:
            held.heard_at = now
            held.forget_alone()
            return
        records = held.take_records()
        held.alone.observe(self._vm_id, records)
        held.alone.evaluate()
        owner = self._shards.owner(shard_of(name, self._shards.shard_count))
        if owner is None:
            return
        rows = held.held() if owner.vm_id != held.judge_id else ()
        is_partial = not self._is_on_panel(name)
        if is_partial:
            held.unsent.hold(now, records)
            records = held.unsent.take(held.alone.suspects())
            if not records and not rows and self._periods % HEARTBEAT_PERIODS:
                return
        digest = ServiceDigest(name, records, rows, is_partial)
        if owner.vm_id == self._vm_id:
            self._take_digest(self._vm_id, digest)
            return
        by_owner.setdefault(owner.vm_id, []).append(digest)

    def _is_on_panel(self, name: str) -> bool:
        """Return whether this VM reports all its outcomes of a service."""
        share = self._options.panel_size / self._fleet_size
        return score(name, self._vm_id) < share * HASH_RANGE

    def _judged(self, held: ServiceHealth, now: float, target_id: str) -> Verdict:
        own = held.alone_verdict(target_id) or HEALTHY
        if self._is_lapsed(held, now):
            return own
        heard = held.heard(target_id) or HEALTHY
        if own.state is VerdictState.EJECTED and heard.weight > 0.0:
            # Only this VM's path is at fault as long as the judge disagrees, so
            # the target stays in use here with little work.
            weight = min(heard.weight, self._options.trial_weight)
            return Verdict(VerdictState.SLOW_START, weight, own.since)
        return heard

    def _is_lapsed(self, held: ServiceHealth, now: float) -> bool:
        return now - held.heard_at > self._options.lapse_s

    def _judge(self, name: str) -> ServiceJudge | None:
        held = self._services.get(name)
        if held is None:
            return None
        shard = shard_of(name, self._shards.shard_count)
        if self._shards.owned(shard) is None:
            self._judges.pop(name, None)
            return None
        if name not in self._judges:
            self._judges[name] = self._build_judge(held.service)
        return self._judges[name]

    def _judged_in(self, shard: int) -> list[str]:
        count = self._shards.shard_count
        return [name for name in self._judges if shard_of(name, count) == shard]

    def _evaluate(self) -> None:
        for name in list(self._judges):
            judge = self._judge(name)
            if judge is None:
                continue
            changed = judge.evaluate()
            self._hear_own(name, judge)
            if changed:
                self._push(name, judge)

    def _hear_own(self, name: str, judge: ServiceJudge) -> None:
        held = self._services.get(name)
        if held is not None:
            held.hear(self._clock.now(), self._vm_id, judge.rows())

    def _push(self, name: str, judge: ServiceJudge) -> None:
        message = HealthVerdicts((ServiceVerdicts(name, judge.rows()),))
        for vm_id in judge.vms():
            if vm_id != self._vm_id:
                self._channel.send(vm_id, message)

    def _take_digest(self, sender: str, digest: ServiceDigest) -> ServiceJudge | None:
        judge = self._judge(digest.service)
        if judge is None:
            return None
        judge.observe(sender, digest.records, digest.is_partial)
        judge.adopt(digest.held)
        return judge

    def _on_digest(self, sender: str, message: HealthDigest) -> None:
        verdicts = []
        for digest in message.digests:
            judge = self._take_digest(sender, digest)
            if judge is not None:
                verdicts.append(ServiceVerdicts(digest.service, judge.rows()))
        if verdicts:
            self._channel.send(sender, HealthVerdicts(tuple(verdicts)))

    def _on_verdicts(self, sender: str, message: HealthVerdicts) -> None:
        now = self._clock.now()
        for item in message.verdicts:
            held = self._services.get(item.service)
            if held is not None and self._may_judge(sender, item.service):
                held.hear(now, sender, item.rows)

    def _may_judge(self, sender: str, name: str) -> bool:
        owner = self._shards.owner(shard_of(name, self._shards.shard_count))
        return owner is not None and owner.vm_id == sender
