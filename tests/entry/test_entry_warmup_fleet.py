"""Tests of the bound on the requests to a cold target, over all VMs of a fleet."""

from types import SimpleNamespace

import msgspec
import pytest
from entry_helper import entry_target
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from warmup_helper import BOUND, RATE, WARMUP_S, HealthPaths, WarmupFleet

from lacewingpond.entry.limits.warmup_checks import TICK_S
from lacewingpond.entry.limits.warmup_rules import warmup_allowance
from lacewingpond.entry.peers.messages import WarmupTokenRequest
from lacewingpond.entry.quota.standby_shares import STANDBY_DELAY_S
from lacewingpond.entry.requests.target_choice import TargetChoice
from lacewingpond.util.clock import ManualClock

LONG_WARMUP_S = 8.0
LONGEST_WARMUP_S = 60.0


def token_requests(fleet):
    return [
        to
        for vm in fleet.vms
        for to, message in vm.channel.sent
        if isinstance(message, WarmupTokenRequest)
    ]


# Load pattern: one VM gets 30% of the requests, one VM is cut off from its peers.
@pytest.mark.parametrize("cut", ["busy", "holder", "standby", "other"])
def test_cold_target_is_bounded_at_uneven_load_with_a_vm_cut_off(clock, cut):
    fleet = WarmupFleet(clock, vms=112, targets=4)
    holder, standby = (int(name[3:]) - 1 for name in fleet.ranked()[:2])
    busy, other, *_ = (n for n in range(4) if n not in (holder, standby))
    fleet.turn_cold(LONG_WARMUP_S)
    fleet.serve(2.0, 200, busy)
    numbers = {"busy": busy, "holder": holder, "standby": standby, "other": other}
    fleet.network.cut.add(fleet.vms[numbers[cut]].address)
    fleet.serve(5.0, 200, busy)
    assert 0 < fleet.most_in_a_second() <= BOUND
    assert set(fleet.statuses()) == {200}


# Load pattern: the cut-off VM itself holds the bucket and gets 30% of the requests.
def test_holder_that_hears_no_peer_sends_nothing_to_a_cold_target(clock):
    fleet = WarmupFleet(clock)
    holder = fleet.holder()
    fleet.turn_cold(LONG_WARMUP_S)
    fleet.serve(2.0, 100, holder)
    fleet.network.cut.add(fleet.vms[holder].address)
    fleet.serve(1.5, 100, holder)
    fleet.cold_arrivals.clear()
    fleet.serve(3.0, 100, holder, busy_ratio=1.0)
    assert not fleet.cold_arrivals


# Guards against a cold target being left idle, which the bound alone would allow.
def test_cold_target_gets_most_of_what_it_tolerates(clock):
    fleet = WarmupFleet(clock)
    clock.advance(5.0)
    fleet.turn_cold(LONG_WARMUP_S)
    fleet.serve(LONG_WARMUP_S, 100)
    assert len(fleet.cold_arrivals) >= 0.8 * RATE * LONG_WARMUP_S


# Failure: the VM that holds the bucket is lost.
def test_standby_grants_tokens_when_the_holder_is_lost(clock):
    fleet = WarmupFleet(clock)
    holder = fleet.holder()
    fleet.turn_cold(LONG_WARMUP_S)
    fleet.serve(2.0, 100)
    fleet.lost.add(holder)
    fleet.network.cut.add(fleet.vms[holder].address)
    fleet.cold_arrivals.clear()
    # The holder may only be cut off, and grant its last tokens for a second.
    fleet.serve(STANDBY_DELAY_S, 100)
    assert not fleet.cold_arrivals
    fleet.serve(4.0, 100)
    assert len(fleet.cold_arrivals) >= 0.5 * RATE * 4.0
    assert fleet.most_in_a_second() <= BOUND


# Failure: a VM that restarts has no memory of the tokens that it granted just before.
def test_restarted_holder_begins_after_its_last_tokens(clock):
    fleet = WarmupFleet(clock)
    holder = fleet.holder()
    fleet.turn_cold(LONG_WARMUP_S)
    fleet.serve(2.0, 100)
    fleet.restart(holder)
    fleet.cold_arrivals.clear()
    fleet.serve(1.0, 100)
    assert not fleet.cold_arrivals


# Failure: a VM with another view of the members asks one that ranks third in its own.
def test_vm_that_ranks_third_grants_no_token(clock):
    fleet = WarmupFleet(clock)
    clock.advance(5.0)
    allowance = warmup_allowance("cold/t0/0", RATE, BOUND)
    granted = set()
    for _ in range(5):
        clock.advance(0.9)
        for number, vm in enumerate(fleet.vms):
            if fleet.shares(number).grant(1, allowance).granted:
                granted.add(vm.name)
    assert granted == set(fleet.ranked())


# Failure: two VMs each believe that they hold the bucket.
def test_two_views_of_the_members_keep_the_bound_together(clock):
    fleet = WarmupFleet(clock)
    holder = fleet.holder()
    fleet.stale = {vm.name for n, vm in enumerate(fleet.vms) if n % 2 or n == holder}
    fleet.set_member(holder, False)
    fleet.turn_cold(LONG_WARMUP_S)
    fleet.serve(LONG_WARMUP_S, 200)
    assert BOUND / 2 < fleet.most_in_a_second() <= BOUND


# Load pattern: all targets are cold, and callers send more than these tolerate.
def test_requests_beyond_the_bound_are_refused_at_once_as_not_run(clock):
    fleet = WarmupFleet(clock, targets=1)
    fleet.turn_cold()
    fleet.serve(2.5, 50)
    refusals = [outcome.err_value for outcome in fleet.outcomes if outcome.is_err()]
    assert len(refusals) >= 50
    assert {(r.status, r.reason) for r in refusals} == {(503, "target-limits")}
    assert fleet.most_in_a_second() <= BOUND


# Failure: the target names a limit below, or above, what it tolerates while cold.
@pytest.mark.parametrize(("limit", "most"), [("1", 3), ("40", BOUND)])
def test_smaller_of_two_limits_applies(clock, limit, most):
    fleet = WarmupFleet(clock)
    fleet.targets.limits["t0"] = limit
    fleet.serve(4.0, 100)
    fleet.turn_cold(LONG_WARMUP_S)
    fleet.serve(6.0, 100)
    assert 0 < fleet.most_in_a_second() <= most


# Failure: during an upgrade, VMs that can't read the request are asked for tokens.
def test_old_builds_hold_no_bucket(clock):
    fleet = WarmupFleet(clock, speaks=dict.fromkeys(range(6), 4))
    old = {vm.address for vm in fleet.vms[:6]}
    for _ in range(5):
        fleet.turn_cold(restart=True)
        fleet.serve(1.0, 50)
        assert fleet.holder() >= 6
    assert token_requests(fleet)
    assert not old.intersection(token_requests(fleet))


# Failure: a hedge adds a request to a target that is slow because it is cold.
def test_hedges_exclude_cold_targets(clock):
    fleet = WarmupFleet(clock)
    limiter = fleet.daemons[0].context.limiter
    fleet.turn_cold()
    assert limiter.limited("svc") == {"t0"}
    clock.advance(WARMUP_S)
    assert limiter.limited("svc") == set()


# Guards against other deployments paying for tokens that they did not ask for.
def test_nothing_changes_without_a_warmup_rate(clock):
    fleet = WarmupFleet(clock, rate=0.0)
    fleet.turn_cold()
    fleet.serve(2.0, 100)
    assert not token_requests(fleet)
    assert fleet.daemons[0].context.limiter.limited("svc") == set()


def assume_cold(fleet, left_ms):
    """Return the health paths, and the checks of all VMs after an evacuation."""
    paths = HealthPaths(fleet.clock, left_ms)
    checks = [paths.checks_of(fleet, number) for number in range(len(fleet.vms))]
    for each in checks:
        each.assume_cold("zone-a")
    return paths, checks


def run_checks(fleet, checks, seconds):
    for _ in range(round(seconds / TICK_S)):
        fleet._beat()
        for each in checks:
            for state in each.due():
                each.check(state)
        fleet.clock.advance(TICK_S)


# Failure: two VMs each believe that they hold the bucket, and both check the target.
def test_fleet_makes_fewer_than_three_health_checks_a_second(clock):
    fleet = WarmupFleet(clock, targets=1)
    holder = fleet.holder()
    fleet.stale = {fleet.vms[holder].name}
    fleet.set_member(holder, False)
    paths, checks = assume_cold(fleet, left_ms=400)
    run_checks(fleet, checks, WARMUP_S * 2)
    assert len(paths.checks) >= 4
    assert paths.most_in_a_second() < 3


# Failure: a domain is evacuated again, while its targets are still checked.
def test_health_checks_stop_when_the_domain_is_evacuated_again(clock):
    fleet = WarmupFleet(clock, targets=1)
    paths, checks = assume_cold(fleet, left_ms=400)
    for each in checks:
        each.stop("zone-a")
    run_checks(fleet, checks, WARMUP_S)
    assert not paths.checks


def due_checks(fleet, checks):
    fleet._beat()
    due = [(each, state) for each in checks for state in each.due()]
    assert due
    return due


# Failure: many targets do not respond, so that checks wait while the next evacuation
# begins, and would then reach the domain.
def test_check_that_waited_is_not_sent_to_an_evacuated_domain(clock):
    fleet = WarmupFleet(clock, targets=1)
    paths, checks = assume_cold(fleet, left_ms=0)
    for each, state in due_checks(fleet, checks):
        each.stop("zone-a")
        each.check(state)
    assert not paths.checks


# Failure: the response to a check arrives when the domain was evacuated once more, in
# which its target may have turned cold.
def test_response_from_before_an_evacuation_does_not_show_a_target_warm(clock):
    fleet = WarmupFleet(clock, targets=1)
    paths, checks = assume_cold(fleet, left_ms=0)
    for each, state in due_checks(fleet, checks):

        def send(*args, each=each):
            each.stop("zone-a")
            each.assume_cold("zone-a")
            return paths._send(*args)

        each._client.send = send
        each.check(state)
        assert not state.is_warm(clock.now())
    assert paths.checks


# Failure: targets are removed while they have no token, and never looked up again.
def test_waits_for_tokens_of_removed_targets_are_dropped(clock):
    fleet = WarmupFleet(clock, targets=1)
    warmup = fleet.daemons[0].context.limiter.warmup
    for number in range(20):
        target_id = f"cold-{number}"
        spec = entry_target(target_id, "127.0.0.1:9001", warmup_left_s=WARMUP_S)
        fleet.put(f"targets/{target_id}", msgspec.json.encode(spec))
        while warmup.admit(spec).admitted:
            pass
        fleet.put(f"targets/{target_id}", None)
        clock.advance(WARMUP_S)
    assert len(warmup._exhausted) <= 1


# Failure: the wait for a token of an evacuated target is told to callers as the time
# after which their requests are served.
@pytest.mark.parametrize("limit", [None, "1"])
def test_evacuated_targets_are_not_waited_for(clock, limit):
    fleet = WarmupFleet(clock, targets=1)
    if limit is None:
        fleet.turn_cold(LONG_WARMUP_S)
    else:
        fleet.targets.limits["t0"] = limit
    fleet.serve(1.0, 100, 0, busy_ratio=1.0)
    limiter = fleet.daemons[0].context.limiter
    assert limiter.exhausted("svc")
    fleet.put("evacuate/zone-a", b"{}")
    assert not limiter.exhausted("svc")


# Failure: a relayed request is told to wait for a target that its sender excluded.
def test_relayed_request_waits_for_no_excluded_target(clock):
    fleet = WarmupFleet(clock, targets=1)
    fleet.turn_cold(LONG_WARMUP_S)
    fleet.serve(1.0, 100, 0, busy_ratio=1.0)
    context, evacuated = fleet.daemons[0].context, frozenset({"zone-x"})
    for excluded, reason in ((set(), "target-limits"), ({"t0"}, "no-target")):
        request = SimpleNamespace(service="svc", excluded=excluded, evacuated=evacuated)
        choice = TargetChoice(
            request, set(), context.placer, context.limiter, clock, context.admission
        )
        assert choice.no_target_refusal().reason == reason


# Failure: an evacuation ends, and its targets are cold without a restart.
def test_target_is_assumed_cold_after_an_evacuation(clock):
    fleet = WarmupFleet(clock)
    assume_cold(fleet, left_ms=0)
    fleet.cold_until = clock.now() + WARMUP_S
    fleet.serve(WARMUP_S, 200)
    assert 0 < fleet.most_in_a_second() <= BOUND


# Guards against a whole domain being held back although its targets stayed warm.
def test_target_that_is_shown_to_be_warm_gets_tokens_without_limit(clock):
    fleet = WarmupFleet(clock, targets=1)
    _, checks = assume_cold(fleet, left_ms=0)
    run_checks(fleet, checks, TICK_S)
    fleet.serve(1.0, 100)
    assert set(fleet.statuses()) == {200}


class ColdFleet(RuleBasedStateMachine):
    """Checks the bound while members, views and the target change."""

    SIZE = 6
    numbers = st.integers(0, SIZE - 1)

    @initialize(settled=st.booleans())
    def start(self, settled):
        self.clock = ManualClock()
        self.fleet = WarmupFleet(self.clock, vms=self.SIZE, targets=2)
        self.clock.advance(5.0 if settled else 0.0)
        self.fleet.turn_cold(LONGEST_WARMUP_S)

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.5]), busy=st.none() | numbers)
    def serve(self, seconds, busy):
        busy = None if busy in self.fleet.lost else busy
        self.fleet.serve(seconds, 80, busy)

    # Load pattern: bursts after a time with few requests, in which buckets fill.
    @rule(busy=st.none() | numbers)
    def serve_a_burst(self, busy):
        self.fleet.serve(3.0, 4)
        self.serve(0.3, busy)

    @rule(numbers=st.sets(numbers, min_size=1))
    def disagree_on_the_holder(self, numbers):
        self.fleet.update_views()
        if self.fleet.ranked():
            holder = self.fleet.holder()
            stale = {holder, *numbers}
            self.fleet.stale = {self.fleet.vms[n].name for n in stale}
            self.fleet.set_member(holder, False)

    @rule(number=numbers)
    def leave(self, number):
        self.fleet.set_member(number, False)

    @rule(number=numbers)
    def join(self, number):
        self.fleet.set_member(number, True)

    @rule(numbers=st.sets(numbers, min_size=1))
    def split_views(self, numbers):
        if not self.fleet.stale:
            self.fleet.stale = {self.fleet.vms[n].name for n in numbers}

    @rule()
    def update_views(self):
        self.fleet.update_views()

    @rule(restart=st.booleans(), warmup_s=st.sampled_from([WARMUP_S, LONGEST_WARMUP_S]))
    def turn_cold(self, restart, warmup_s):
        self.fleet.turn_cold(warmup_s, restart)

    @rule(number=numbers)
    def lose_holder(self, number):
        if self.fleet.ranked(number):
            holder = self.fleet.holder(number)
            self.fleet.lost.add(holder)
            self.fleet.network.cut.add(self.fleet.vms[holder].address)

    @rule(number=numbers)
    def cut(self, number):
        self.fleet.network.cut.add(self.fleet.vms[number].address)

    @rule(number=numbers)
    def return_restarted(self, number):
        self.fleet.lost.discard(number)
        self.fleet.network.cut.discard(self.fleet.vms[number].address)
        self.fleet.restart(number)

    @invariant()
    def bound_holds(self):
        assert self.fleet.most_in_a_second() <= BOUND


ColdFleet.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
# Failures: members join and leave, two views of them, holders lost or cut off and
# restarted, while the target turns cold again with or without a restart.
test_bound_holds_while_members_and_targets_change = ColdFleet.TestCase
