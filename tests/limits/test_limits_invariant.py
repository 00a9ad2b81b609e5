"""Tests of the limits' invariant under faults that hypothesis chooses.

In every time window the admissions of the fleet stay within burst and rate. The
examples are derived from the source of the state machine classes, so editing these
changes the tested cases.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from scripted_fleet import ScriptedFleet

from lacewingpond.config.model import Config, Workspace
from lacewingpond.limits.grant_client import GrantClient
from lacewingpond.limits.limiter import FleetLimiter
from lacewingpond.limits.slice import Slice
from lacewingpond.limits.windows import worst_excess

SETTINGS = settings(
    max_examples=60,
    report_multiple_bugs=False,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
VMS = st.sampled_from(("vm0", "vm1", "vm2", "vm3"))
BUCKETS = st.sampled_from(("w:small", "w:large"))
SMALL = Workspace("small", 1.0, 2.0)
LARGE = Workspace("large", 40.0, 24.0)
EPSILON = 1e-6


class ReceiptExpiryGrantClient(GrantClient):
    """Wrong on purpose: counts a grant's time to live from the answer's arrival."""

    __slots__ = ()

    def _add_grant(self, allowance, request, answer, now):
        request.sent_at = now
        super()._add_grant(allowance, request, answer, now)


class ReceiptExpiryLimiter(FleetLimiter):
    """A limiter that uses its grants for too long."""

    __slots__ = ()

    def __init__(self, *args):
        super().__init__(*args)
        self._grant_client.__class__ = ReceiptExpiryGrantClient


class QuietMachine(RuleBasedStateMachine):
    """A fleet whose only fault is slow answers."""

    limiter_class = FleetLimiter

    def __init__(self):
        super().__init__()
        self.cfg = Config(1, (SMALL, LARGE))
        self.fleet = ScriptedFleet(self.limiter_class, self.cfg)

    @rule(vm=VMS, bucket=BUCKETS, count=st.integers(1, 20))
    def request(self, vm, bucket, count):
        for _ in range(count):
            self.fleet.request(vm, bucket)

    @rule(vm=VMS, bucket=BUCKETS, ms=st.sampled_from((60, 150, 900)))
    def slow_answers(self, vm, bucket, ms):
        self.request(vm, bucket, 20)
        self.fleet.deliver_asks()
        self.fleet.advance(ms / 1000.0)
        self.fleet.deliver_all()

    @rule(bucket=BUCKETS)
    def rush(self, bucket):
        self.fleet.rush(bucket, 20)

    @rule(ms=st.sampled_from((1, 10, 40, 90, 200, 950, 1100)))
    def advance(self, ms):
        self.fleet.advance(ms / 1000.0)

    @invariant()
    def no_window_holds_too_much(self):
        for limit in (SMALL, LARGE):
            times = self.fleet.admitted.get(f"w:{limit.name}", [])
            excess = worst_excess(times, limit.rate, limit.burst)
            assert excess <= EPSILON, f"{limit.name}: {excess} above the bound"

    @invariant()
    def slices_keep_their_sum(self):
        for limiter in self.fleet.limiters.values():
            for part in limiter.owner.slices_in_use():
                assert_sum(part)


class FleetMachine(QuietMachine):
    """Adds loss, repetition, reordering, pauses, crashes and moves of shards."""

    @rule(vm=VMS, count=st.integers(4, 20))
    def steady_requests(self, vm, count):
        for _ in range(count):
            self.fleet.request(vm, "w:large")
            self.fleet.deliver_all()
            self.fleet.advance(0.02)

    @rule()
    def deliver_all(self):
        self.fleet.deliver_all()

    @rule()
    def deliver_asks(self):
        self.fleet.deliver_asks()

    @precondition(lambda self: self.fleet.in_flight)
    @rule(data=st.data(), again=st.booleans())
    def deliver_one(self, data, again):
        last = len(self.fleet.in_flight) - 1
        self.fleet.deliver(data.draw(st.integers(0, last)), again)

    @precondition(lambda self: self.fleet.in_flight)
    @rule(data=st.data())
    def lose_one(self, data):
        last = len(self.fleet.in_flight) - 1
        del self.fleet.in_flight[data.draw(st.integers(0, last))]

    @rule(vm=VMS)
    def pause(self, vm):
        self.fleet.clocks[vm].running.clear()

    @rule(vm=VMS)
    def resume(self, vm):
        self.fleet.clocks[vm].running.set()

    @rule(vm=VMS)
    def crash(self, vm):
        self.fleet.crash(vm, self.cfg)

    @rule(vm=VMS, shard=st.integers(0, 7))
    def take_over(self, vm, shard):
        if self.fleet.is_running(vm):
            self.fleet.take_over(shard, vm)

    @rule(vm=VMS, shard=st.integers(0, 7))
    def hand_over(self, vm, shard):
        if self.fleet.is_running(vm):
            self.fleet.hand_over(shard, vm)


def assert_sum(part: Slice) -> None:
    amounts = sum(grant.amount for grant in part.grants.values())
    assert part.outstanding == amounts
    assert part.level >= 0.0
    assert part.level + amounts <= part.limit.burst + EPSILON


class ReceiptExpiryMachine(QuietMachine):
    limiter_class = ReceiptExpiryLimiter


def test_no_window_exceeds_burst_and_rate():
    run_state_machine_as_test(FleetMachine, settings=SETTINGS)


def test_state_machine_detects_expiry_counted_from_arrival():
    quick = settings(
        SETTINGS, max_examples=100, stateful_step_count=8, phases=(Phase.generate,)
    )
    run_state_machine_as_test(QuietMachine, settings=quick)
    with pytest.raises(AssertionError, match="above the bound"):
        run_state_machine_as_test(ReceiptExpiryMachine, settings=quick)


def late_answers(limiter_class):
    """Return the excess when answers arrive after their grants expired."""
    fleet = ScriptedFleet(limiter_class, Config(1, (LARGE,)))
    for _ in range(20):
        fleet.request("vm0", "w:large")
    fleet.deliver_asks()
    fleet.advance(0.9)
    fleet.deliver_all()
    fleet.rush("w:large", 20)
    return worst_excess(fleet.admitted["w:large"], LARGE.rate, LARGE.burst)


def test_late_answers_exceed_the_bound_only_when_expiry_counts_from_arrival():
    assert late_answers(FleetLimiter) <= EPSILON
    assert late_answers(ReceiptExpiryLimiter) > 1.0
