"""Tests of admission in a small fleet without faults."""

import random

import gevent

from lacewingpond.config.model import Config, Workspace
from lacewingpond.limits.admission import RefusalReason
from lacewingpond.limits.bucket import Bucket
from lacewingpond.limits.limiter import FleetLimiter
from lacewingpond.limits.messages import GrantAsk, GrantEnd, GrantReturn
from lacewingpond.limits.options import LimitOptions
from lacewingpond.peers.memory import MemoryNetwork, MemoryNetworkOptions
from lacewingpond.replay.fake_shards import FakeShardTable
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import ManualClock


class Fleet:
    def __init__(self, count, workspaces):
        self.clock = ManualClock()
        faults = MemoryNetworkOptions(min_delay_s=0.0004, max_delay_s=0.0006)
        self.network = MemoryNetwork(self.clock, random.Random(1), faults)
        self.vms = tuple(f"vm{number}" for number in range(count))
        self.table = FakeShardTable(32, self.vms, self.clock)
        cfg = Config(1, workspaces)
        self.metrics = CountingMetrics()
        self.limiters = {vm: self._limiter(vm, cfg) for vm in self.vms}

    def _limiter(self, vm, cfg):
        limiter = FleetLimiter.from_options(
            LimitOptions(),
            ComponentContext(
                vm,
                self.clock,
                random.Random(vm),
                self.network.channel(vm),
                self.table.view(vm),
                NullDecisionLog(),
                self.metrics,
            ),
        )
        limiter.configure(cfg)
        for shard in self.table.shards_of(vm):
            limiter.acquire(self.table.owners[shard], None)
        return limiter

    def run(self, seconds):
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(0.0005)
            self.network.run_due()
            gevent.sleep(0)

    def ask(self, vm, name):
        bucket_ids = self.limiters[vm].bucket_ids(name, "")
        return gevent.spawn(self.limiters[vm].admit, bucket_ids)


def test_small_workspace_is_served_wherever_its_requests_arrive():
    fleet = Fleet(40, (Workspace("small", 1.0, 2.0),))
    answers = []
    for number in range(20):
        answers.append(fleet.ask(f"vm{number * 7 % 40}", "small"))
        fleet.run(1.05)
    assert [answer.value.admitted for answer in answers] == [True] * 20


def test_burst_is_not_exceeded_by_vms_asking_at_once():
    fleet = Fleet(40, (Workspace("small", 1.0, 4.0),))
    answers = [fleet.ask(vm, "small") for vm in fleet.vms]
    fleet.run(0.2)
    admitted = [a.value for a in answers if a.value.admitted]
    refused = [a.value for a in answers if not a.value.admitted]
    assert len(admitted) == 4
    assert {a.reason for a in refused} == {RefusalReason.OVER_RATE}
    assert all(a.retry_after_s > 0 for a in refused)


def test_held_tokens_are_used_without_messages():
    fleet = Fleet(4, (Workspace("large", 400.0, 800.0),))
    for _ in range(200):
        fleet.ask("vm0", "large")
        fleet.run(0.005)
    before = fleet.metrics.counters["limits.asks"]
    answers = []
    for _ in range(200):
        answers.append(fleet.ask("vm0", "large"))
        fleet.run(0.005)
    assert all(answer.value.admitted for answer in answers)
    assert fleet.metrics.counters["limits.asks"] - before < 200 / 10


def test_no_token_is_taken_when_one_bucket_refuses():
    fleet = Fleet(2, (Workspace("a", 1.0, 1.0), Workspace("b", 1.0, 9.0)))
    limiter = fleet.limiters["vm0"]
    pair = ("w:a", "w:b")
    first = gevent.spawn(limiter.admit, pair)
    fleet.run(0.2)
    second = gevent.spawn(limiter.admit, pair)
    fleet.run(0.2)
    assert first.value.admitted
    assert second.value.bucket_id == "w:a"
    fleet.run(1.0)
    alone = [gevent.spawn(limiter.admit, ("w:b",)) for _ in range(8)]
    fleet.run(0.2)
    assert all(answer.value.admitted for answer in alone)


def test_unknown_bucket_is_refused():
    fleet = Fleet(1, ())
    answer = fleet.limiters["vm0"].admit(("w:none",))
    assert answer.reason is RefusalReason.UNKNOWN_BUCKET


def test_invalid_grant_messages_change_nothing():
    fleet = Fleet(2, (Workspace("a", 1.0, 4.0),))
    shard = Bucket("w:a", 1.0, 4.0).shards(32, LimitOptions())[0]
    owner = fleet.limiters[fleet.table.owners[shard].vm_id].owner
    for need, ahead in ((-3, 0), (0, -3), (-1, 9)):
        answer = owner.grant("vmX", GrantAsk(shard, "w:a", need + 9, need, ahead))
        assert 0 <= answer.amount <= 1
    owner.return_tokens("vmX", GrantReturn(shard, "w:a", (GrantEnd(7, 99),)))
    (part,) = owner.slices_in_use()
    assert part.level + part.outstanding <= 4.0
    assert not owner.grant("vmX", GrantAsk(shard, "w:none", 1, 1)).owned
    assert not owner.grant("vmX", GrantAsk(999, "w:a", 1, 1)).owned
