"""Tests of fleet-wide quotas: the bound holds and requests within it are admitted."""

import random

import gevent
import pytest
from entry_helper import Network, Vm, at, config, workspace
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lacewingpond.entry.quota.limiter import QuotaLimiter
from lacewingpond.entry.quota.rules import QuotaRules
from lacewingpond.entry.quota.token_bucket import TokenBucket
from lacewingpond.entry.quota.token_shares import HOLDERS_UNREACHABLE, OVER_RATE
from lacewingpond.store.base import WatchEvent

# The source text of `ConservedTokens` decides its examples, so its names stay.
from lacewingpond.util.clock import ManualClock as PausedClock

RULES = QuotaRules(window_s=5.0, overage=0.1, slack=20.0)


class LimiterFleet:
    """Limiters of several VMs that have the same list of members."""

    def __init__(self, clock, size, rate, burst):
        self.clock = clock
        self.network = Network()
        self.workspace = workspace(rate, burst)
        self.vms = [Vm(f"vm-{n}", n, self.network, clock) for n in range(1, size + 1)]
        self.limiters = [self.limiter(vm) for vm in self.vms]
        events = [
            WatchEvent(f"members/{vm.name}", vm.member.encode(), number)
            for number, vm in enumerate(self.vms, 1)
        ]
        for vm in self.vms:
            vm.cache.apply(events, at(size))
            self.configure(vm)

    def limiter(self, vm):
        return QuotaLimiter(RULES, vm.view, vm.fleet, vm.channel, self.clock, vm.rng)

    def configure(self, vm):
        vm.view.config = config(workspaces=(self.workspace,))
        for listener in vm.view._on_config:
            listener(vm.view.config)

    def admit(self, number):
        return self.limiters[number].admit(self.workspace)

    def restart(self, number):
        """Restart the process of a VM, which loses the tokens of its buckets."""
        vm = self.vms[number]
        vm.view._on_config.clear()
        vm.view._on_members.pop()
        self.limiters[number] = self.limiter(vm)
        self.configure(vm)


@pytest.mark.parametrize(("rate", "burst"), [(2.0, 2.0), (31.0, 31.0), (200.0, 300.0)])
def test_fleet_admits_the_quota_in_a_window_and_no_more_than_its_tolerance(
    clock, rate, burst
):
    fleet, rng = LimiterFleet(clock, 40, rate, burst), random.Random(1)
    clock.advance(20.0)
    admitted = []
    for _ in range(200):
        for _ in range(round(rate * 0.3) + 1):
            if fleet.admit(rng.randrange(40)).admitted:
                admitted.append(clock.now())
        clock.advance(0.1)
    quota = rate * RULES.window_s + burst
    counts = [sum(at < t <= at + RULES.window_s for t in admitted) for at in admitted]
    assert max(counts) <= quota + RULES.tolerance(fleet.workspace)
    assert max(counts) >= quota
    assert len(admitted) >= quota * 4 * 0.9


@pytest.mark.parametrize(("rate", "burst"), [(2.0, 2.0), (31.0, 31.0)])
def test_requests_within_the_rate_are_not_refused(clock, rate, burst):
    fleet, rng = LimiterFleet(clock, 40, rate, burst), random.Random(2)
    clock.advance(20.0)
    central = TokenBucket(rate, burst, burst, clock.now())
    refused = refused_centrally = asked = 0
    for _ in range(400):
        clock.advance(0.1)
        for _ in range(sum(rng.random() < rate / 1.6 / 10 / 8 for _ in range(8))):
            asked += 1
            refused_centrally += not central.take(clock.now())
            refused += not fleet.admit(rng.randrange(40)).admitted
    assert refused <= refused_centrally + asked * 0.01


# Guards against refusals of a workspace that the VMs with its tokens do not know yet.
@pytest.mark.parametrize("known", [(), (workspace(0.0, 0.0),)])
def test_added_quota_is_granted_by_holders_with_an_older_configuration(clock, known):
    rate, burst = 20.0, 10.0
    fleet = LimiterFleet(clock, 12, rate, burst)
    for vm in fleet.vms[1:]:
        vm.view.config = config(workspaces=known)
        for listener in vm.view._on_config:
            listener(vm.view.config)
    clock.advance(20.0)
    admitted = 0
    for _ in range(50):
        clock.advance(0.1)
        admitted += sum(fleet.admit(0).admitted for _ in range(4))
    quota = rate * RULES.window_s + burst
    assert admitted >= rate * RULES.window_s * 0.8
    assert admitted <= quota + RULES.tolerance(fleet.workspace)


def test_refusal_has_retry_time_of_the_next_token(clock):
    fleet = LimiterFleet(clock, 3, 1.0, 2.0)
    while (admission := fleet.admit(0)).admitted:
        pass
    assert admission.reason == OVER_RATE
    assert 0.0 < admission.retry_after_s <= 3.0


def test_unlimited_workspace_sends_no_token_request(clock):
    fleet = LimiterFleet(clock, 3, 0.0, 0.0)
    assert fleet.admit(0).admitted
    assert not fleet.vms[0].channel.sent


# Guards against a standby that grants tokens beside the holders that it stands in for,
# also while some VMs can't reach one of them.
@pytest.mark.parametrize("rate", [0.2, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 5.0])
@pytest.mark.parametrize("size", [3, 4, 12])
@pytest.mark.parametrize("cut", [False, True])
def test_small_quota_is_kept_with_a_standby(clock, rate, size, cut):
    fleet, rng = LimiterFleet(clock, size, rate, 7.0), random.Random(1)
    clock.advance(20.0)
    unreachable = fleet.limiters[0].shares.ranked(fleet.workspace.name)[0]
    address = next(vm for vm in fleet.vms if vm.name == unreachable).address
    admitted = []
    for step in range(80):
        if step == 20:
            # All shares that any VM has begun to hold are full again.
            clock.advance(20.0)
        for number in (rng.randrange(size) for _ in range(30)):
            # The holder serves its own callers, while no other VM reaches it.
            is_own = fleet.vms[number].name == unreachable
            fleet.network.cut = {address} if cut and not is_own else set()
            if fleet.admit(number).admitted:
                admitted.append(clock.now())
        if cut and step % 2:
            fleet.network.cut = set()
        clock.advance(0.1)
    quota = rate * RULES.window_s + 7.0
    counts = [sum(at <= t <= at + RULES.window_s for t in admitted) for at in admitted]
    assert max(counts) <= quota + RULES.tolerance(fleet.workspace)


def test_standby_grants_tokens_of_small_workspace_without_its_holder(clock):
    fleet = LimiterFleet(clock, 6, 2.0, 2.0)
    clock.advance(10.0)
    first = fleet.limiters[0].shares.ranked(fleet.workspace.name)[0]
    holder = next(vm for vm in fleet.vms if vm.name == first)
    fleet.network.cut.add(holder.address)
    requester = next(n for n, vm in enumerate(fleet.vms) if vm is not holder)
    admissions = []
    for _ in range(20):
        clock.advance(0.5)
        admissions.append(fleet.admit(requester))
    assert sum(admission.admitted for admission in admissions) >= 15


def test_vm_that_reaches_no_holder_refuses(clock):
    fleet = LimiterFleet(clock, 12, 31.0, 31.0)
    clock.advance(10.0)
    count = RULES.share_count(fleet.workspace, 12)
    holders = fleet.limiters[0].shares.ranked(fleet.workspace.name)[:count]
    cut = next(n for n, vm in enumerate(fleet.vms) if vm.name not in holders)
    fleet.network.cut.add(fleet.vms[cut].address)
    admission = fleet.admit(cut)
    assert (admission.admitted, admission.reason) == (False, HOLDERS_UNREACHABLE)


def test_share_of_late_member_refills_before_its_first_use(clock):
    fleet = LimiterFleet(clock, 1, 20.0, 40.0)
    vm = fleet.vms[0]
    # Removes the only member, so that the configuration is known before it registers.
    vm.cache.apply([WatchEvent(f"members/{vm.name}", None, 50)], at(50))
    assert not fleet.limiters[0].shares._buckets
    clock.advance(10.0)
    vm.cache.apply(
        [WatchEvent(f"members/{vm.name}", vm.member.encode(), 51)],
        at(51),
    )
    clock.advance(5.0)
    assert [fleet.admit(0).admitted for _ in range(5)] == [True] * 5


def test_share_is_dropped_when_the_ranking_reassigns_it(clock):
    fleet = LimiterFleet(clock, 2, 20.0, 40.0)
    vm = fleet.vms[0]
    clock.advance(10.0)
    assert "acme" in fleet.limiters[0].shares._buckets
    members = [
        WatchEvent(f"members/new-{n}", vm.member.encode(), 10 + n) for n in range(60)
    ]
    vm.cache.apply(members, at(100))
    held = "acme" in fleet.limiters[0].shares._buckets
    count = RULES.share_count(fleet.workspace, 62)
    assert held == (
        vm.name in fleet.limiters[0].shares.ranked(fleet.workspace.name)[:count]
    )


def test_stopping_holder_grants_nothing_and_takes_tokens_from_others(clock):
    fleet = LimiterFleet(clock, 2, 20.0, 40.0)
    clock.advance(10.0)
    fleet.limiters[0].leave()
    tokens = [fleet.admit(0).admitted for _ in range(40)]
    own = RULES.bucket_size(fleet.workspace) / 2
    # The other holder granted all of them; its bucket holds half of the tokens.
    assert sum(tokens) == int(own)
    assert not fleet.admit(1).admitted


class ConservedTokens(RuleBasedStateMachine):
    """Checks the bound of every window while VMs are cut off and restarted."""

    SIZE = 6

    @initialize(rate=st.sampled_from([1.0, 8.0, 31.0]))
    def start(self, rate):
        self.clock = PausedClock()
        self.fleet = LimiterFleet(self.clock, self.SIZE, rate, rate)
        self.admitted = []
        self.restarts = 0
        self.clock.advance(20.0)

    @rule(number=st.integers(0, SIZE - 1), count=st.integers(1, 40))
    def ask(self, number, count):
        for _ in range(count):
            if self.fleet.admit(number).admitted:
                self.admitted.append(self.clock.now())

    @rule(seconds=st.sampled_from([0.05, 0.5, 2.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)
        gevent.sleep(0)

    @rule(number=st.integers(0, SIZE - 1))
    def cut(self, number):
        self.fleet.network.cut.add(self.fleet.vms[number].address)

    @rule()
    def heal(self):
        self.fleet.network.cut.clear()

    @rule()
    def restart_all(self):
        if self.restarts < 2:
            self.restarts += 1
            for number in range(self.SIZE):
                self.fleet.restart(number)

    @invariant()
    def window_is_bounded(self):
        now = self.clock.now()
        self.admitted = [at for at in self.admitted if at > now - RULES.window_s]
        limited = self.fleet.workspace
        allowed = limited.rate * RULES.window_s + limited.burst
        assert len(self.admitted) <= allowed + RULES.tolerance(limited)


ConservedTokens.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
test_bound_holds_despite_partitions_and_restarts = ConservedTokens.TestCase
