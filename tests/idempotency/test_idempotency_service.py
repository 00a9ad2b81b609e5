"""Tests of keyed requests on a fleet of three VMs with faults."""

import random
import uuid

import gevent
import pytest

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.answer import Answer
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.options import IdempotencyOptions
from lacewingpond.idempotency.reply import ReplyKind
from lacewingpond.idempotency.runner import RunResult
from lacewingpond.idempotency.service import IdempotencyService
from lacewingpond.peers.memory import MemoryNetwork, MemoryNetworkOptions
from lacewingpond.replay.fake_shards import FakeShardTable
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.util.clock import ManualClock
from lacewingpond.util.rendezvous import shard_of

VMS = ("vm0", "vm1", "vm2")
NET = MemoryNetworkOptions(min_delay_s=0.001, max_delay_s=0.002, waits=True)


class Target:
    """A runner whose runs take half a second; it records their keys."""

    def __init__(self, clock):
        self.clock = clock
        self.runs = []
        self.results = []

    def run(self, request, may_send):
        if not may_send():
            return RunResult(RunState.NOT_RUN)
        result = self.results.pop() if self.results else None
        if result is None:
            self.runs.append(request.key)
        self.clock.sleep(0.5)
        if result is not None:
            return result
        body = b"%d" % len(self.runs) * request.timeout_s.__int__()
        return RunResult(RunState.RAN, Answer(201, (("A", "b"),), body))


class Fleet:
    def __init__(self, **options):
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock, random.Random(1), NET)
        self.table = FakeShardTable(9, VMS, self.clock)
        self.target = Target(self.clock)
        self.options = IdempotencyOptions(**options)
        self.services = {}
        for vm in VMS:
            self.start(vm)
            for shard in self.table.shards_of(vm):
                self.services[vm].acquire(self.table.owners[shard], None)

    def start(self, vm):
        self.services[vm] = IdempotencyService.from_options(
            self.options,
            ComponentContext.unlogged(
                vm,
                self.clock,
                random.Random(vm),
                self.network.channel(vm),
                self.table.view(vm),
            ),
            self.target,
        )

    def key(self, age_s=0.0):
        millis = int((self.clock.wall() - age_s) * 1000)
        return str(uuid.UUID(int=millis << 80 | 7 << 76 | 2 << 62 | 1))

    def request(self, key, body=b"x", timeout_s=3.0):
        return KeyedRequest("acme", key, "book", "POST", "/b", (), body, timeout_s)

    def shard(self, key):
        return shard_of(self.request(key).name, 9)

    def owner(self, key):
        return self.table.owners[self.shard(key)].vm_id

    def others(self, key):
        return [vm for vm in VMS if vm != self.owner(key)]

    def submit(self, vm, key, **fields):
        return gevent.spawn(self.services[vm].submit, self.request(key, **fields))

    def run(self, seconds):
        for _ in range(int(seconds / 0.01)):
            self.clock.advance(0.01)
            self.network.run_due()
            gevent.sleep(0)

    def reply(self, vm, key, seconds=2.0, **fields):
        call = self.submit(vm, key, **fields)
        self.run(seconds)
        return call.value


def test_repeats_on_all_vms_get_the_answer_of_the_only_run():
    fleet = Fleet()
    key = fleet.key()
    first = [fleet.submit(vm, key) for vm in VMS]
    fleet.run(1.0)
    later = [fleet.reply(vm, key) for vm in VMS]
    assert fleet.target.runs == [key]
    bodies = {r.answer.body for r in [*(c.value for c in first), *later]}
    assert bodies == {b"111"}
    assert all(reply.is_repeat for reply in later)


def test_different_request_with_the_same_key_is_refused():
    fleet = Fleet()
    key = fleet.key()
    fleet.reply("vm0", key)
    reply = fleet.reply("vm1", key, body=b"other")
    assert (reply.status, reply.run) == (422, RunState.NOT_RUN)


def test_run_continues_when_the_entry_vm_crashes():
    fleet = Fleet()
    key = fleet.key()
    gone, other = fleet.others(key)
    fleet.submit(gone, key)
    fleet.run(0.1)
    fleet.network.crash(gone)
    assert fleet.reply(other, key).answer.body == b"111"
    assert fleet.target.runs == [key]


def test_request_to_an_unreachable_owner_is_unknown_and_not_not_run():
    fleet = Fleet()
    key = fleet.key()
    entry, other = fleet.others(key)
    fleet.reply(entry, key)
    fleet.network.crash(fleet.owner(key))
    reply = fleet.reply(other, key)
    assert (reply.kind, reply.run) == (ReplyKind.OWNER_UNREACHABLE, RunState.UNKNOWN)


def test_reply_is_polled_after_its_message_was_lost():
    fleet = Fleet()
    key = fleet.key()
    entry = fleet.others(key)[0]
    call = fleet.submit(entry, key)
    fleet.run(0.1)
    fleet.network.block(fleet.owner(key), entry)
    fleet.run(0.8)
    fleet.network.unblock(fleet.owner(key), entry)
    fleet.run(2.0)
    assert call.value.answer.body == b"111"
    assert fleet.target.runs == [key]


@pytest.mark.parametrize("age_s", [0.0, 30.0])
def test_only_a_key_dated_well_after_a_takeover_without_state_runs(age_s):
    """A takeover without state loses claims, so older and undated keys may have run.

    So may a key dated after the takeover by less than the clock skew.
    """
    fleet = Fleet()
    fleet.run(1.0)
    key = fleet.key(30.0 - 1.0)
    owner, taker = fleet.owner(key), fleet.others(key)[0]
    fleet.submit(owner, key)
    fleet.run(0.1)
    fleet.network.crash(owner)
    shard = fleet.shard(key)
    fleet.services[taker].acquire(fleet.table.assign(shard, taker, clean=False), None)
    assert fleet.reply(taker, key).run is RunState.UNKNOWN
    undated = next(f"k{n}" for n in range(99) if fleet.shard(f"k{n}") == shard)
    assert fleet.reply(taker, undated).kind is ReplyKind.OWNER_REPLACED
    fleet.run(30.0 - age_s)
    fresh = [fleet.key(-n / 1000.0) for n in range(99)]
    fresh = next(k for k in fresh if fleet.shard(k) == shard)
    assert fleet.reply(taker, fresh).run is (
        RunState.UNKNOWN if age_s else RunState.RAN
    )


def test_key_from_the_future_is_refused():
    fleet = Fleet()
    reply = fleet.reply("vm0", fleet.key(-60.0))
    assert (reply.kind, reply.run) == (ReplyKind.FUTURE_KEY, RunState.NOT_RUN)


@pytest.mark.parametrize("run", [RunState.NOT_RUN, RunState.UNKNOWN])
def test_key_is_freed_only_by_a_proof_of_not_run(run):
    fleet = Fleet()
    fleet.target.results.append(RunResult(run))
    key = fleet.key()
    assert fleet.reply("vm0", key).run is run
    second = fleet.reply("vm1", key)
    expected = RunState.RAN if run is RunState.NOT_RUN else RunState.UNKNOWN
    assert second.run is expected
    assert fleet.target.runs == ([key] if run is RunState.NOT_RUN else [])


def test_request_during_a_handover_waits_for_the_new_owner():
    fleet = Fleet()
    key = fleet.key()
    entry, new = fleet.others(key)
    shard = fleet.shard(key)
    state = fleet.services[fleet.owner(key)].release(shard)
    call = fleet.submit(entry, key)
    fleet.run(0.1)
    assert not call.ready()
    fleet.services[new].acquire(fleet.table.assign(shard, new, True), state)
    fleet.run(1.0)
    assert call.value.run is RunState.RAN
    assert fleet.target.runs == [key]


def test_not_run_that_reaches_its_caller_late_is_still_true():
    fleet = Fleet()
    key = fleet.key()
    entry, other = fleet.others(key)
    fleet.target.results.append(RunResult(RunState.NOT_RUN))
    fleet.network.block(fleet.owner(key), entry)
    late = fleet.submit(entry, key)
    fleet.run(0.1)
    fleet.network.unblock(fleet.owner(key), entry)
    fleet.run(0.5)
    fleet.submit(other, key)
    fleet.run(0.6)
    assert late.value.run is not RunState.NOT_RUN or not fleet.target.runs


def test_repeat_soon_after_not_run_gets_the_same_refusal():
    fleet = Fleet()
    key = fleet.key()
    entry, other = fleet.others(key)
    fleet.target.results.append(RunResult(RunState.NOT_RUN))
    assert fleet.reply(entry, key, seconds=0.6).run is RunState.NOT_RUN
    assert fleet.reply(other, key, seconds=0.1).run is RunState.NOT_RUN
    fleet.run(1.0)
    assert fleet.reply(other, key).run is RunState.RAN


def test_request_for_a_shard_without_owner_is_refused_after_a_short_wait():
    fleet = Fleet()
    key = fleet.key()
    fleet.services[fleet.owner(key)].release(fleet.shard(key))
    reply = fleet.reply(fleet.others(key)[0], key, seconds=0.7)
    assert (reply.kind, reply.run) == (ReplyKind.NO_OWNER, RunState.UNKNOWN)


def test_handover_keeps_answers_and_running_requests():
    fleet = Fleet()
    done, key = fleet.key(1.0), fleet.key()
    fleet.reply("vm0", done)
    call = fleet.submit("vm0", key)
    fleet.run(0.1)
    for name in (done, key):
        shard, old = fleet.shard(name), fleet.owner(name)
        taker = fleet.others(name)[0]
        state = fleet.services[old].release(shard)
        fleet.services[taker].acquire(fleet.table.assign(shard, taker, True), state)
    meanwhile = [fleet.submit(vm, key) for vm in VMS]
    fleet.run(2.0)
    replies = [call.value, *(c.value for c in meanwhile)]
    assert {r.answer.body for r in replies} == {call.value.answer.body}
    assert fleet.reply("vm2", done).answer.body == b"111"
    assert fleet.target.runs == [done, key]


def test_full_table_refuses_new_keys_and_keeps_existing_claims():
    fleet = Fleet(max_claims=1)
    key = next(k for k in map(str, range(99)) if fleet.owner(k) == "vm0")
    other = next(k for k in map(str, range(50, 99)) if fleet.owner(k) == "vm0")
    fleet.reply("vm1", key)
    refused = fleet.reply("vm1", other)
    assert (refused.kind, refused.run) == (ReplyKind.TOO_MANY_KEYS, RunState.NOT_RUN)
    assert fleet.reply("vm2", key).answer.body == b"111"


def test_answer_above_the_size_limit_is_dropped_but_its_claim_is_kept():
    fleet = Fleet(max_answer_bytes=8)
    first = fleet.reply("vm0", "k", timeout_s=20.0)
    repeat = fleet.reply("vm1", "k", timeout_s=20.0)
    assert len(first.answer.body) == 20
    assert (repeat.kind, repeat.run) == (ReplyKind.NOT_KEPT, RunState.RAN)
    assert fleet.target.runs == ["k"]


def test_request_with_too_large_a_body_is_refused_as_not_run():
    fleet = Fleet(max_body_bytes=4)
    reply = fleet.reply("vm0", "k", body=b"12345")
    assert (reply.status, reply.run) == (413, RunState.NOT_RUN)
