"""Tests of rates over the whole fleet: conserved, and refused only when dry."""

import random

import gevent
import pytest
from entry_helper import Network, Vm, config, workspace
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lacewingpond.entry.quota.limiter import HOLDERS_AWAY, OVER_RATE, QuotaLimiter
from lacewingpond.entry.quota.rules import QuotaRules
from lacewingpond.entry.quota.token_bucket import TokenBucket
from lacewingpond.store.base import WatchEvent
from lacewingpond.util.clock import PausedClock

RULES = QuotaRules(window_s=5.0, overage=0.1, slack=20.0)


class Fleet:
    """Limiters of several VMs that share a list of members."""

    def __init__(self, clock, size, rate, burst):
        self.clock = clock
        self.network = Network()
        self.holder = workspace(rate, burst)
        self.vms = [Vm(f"vm-{n}", n, self.network, clock) for n in range(1, size + 1)]
        self.limiters = [self.limiter(vm) for vm in self.vms]
        events = [
            WatchEvent(f"members/{vm.name}", vm.member.encode(), number)
            for number, vm in enumerate(self.vms, 1)
        ]
        for vm in self.vms:
            vm.catalog.apply(events, size)
            self.configure(vm)

    def limiter(self, vm):
        return QuotaLimiter(RULES, vm.world, vm.fleet, vm.channel, self.clock, vm.rng)

    def configure(self, vm):
        vm.world.config = config(workspaces=(self.holder,))
        for listener in vm.world._on_config:
            listener(vm.world.config)

    def admit(self, number):
        return self.limiters[number].admit(self.holder)

    def restart(self, number):
        """Start a VM's process again; what its buckets held is lost."""
        vm = self.vms[number]
        vm.world._on_config.clear()
        vm.world._on_members.pop()
        self.limiters[number] = self.limiter(vm)
        self.configure(vm)


@pytest.mark.parametrize(("rate", "burst"), [(2.0, 2.0), (31.0, 31.0), (200.0, 300.0)])
def test_all_vms_together_admit_the_quota_of_a_window_and_no_more(clock, rate, burst):
    fleet, rng = Fleet(clock, 40, rate, burst), random.Random(1)
    clock.advance(20.0)
    admitted = []
    for _ in range(200):
        for _ in range(round(rate * 0.3) + 1):
            if fleet.admit(rng.randrange(40)).admitted:
                admitted.append(clock.now())
        clock.advance(0.1)
    quota = rate * RULES.window_s + burst
    counts = [sum(at < t <= at + RULES.window_s for t in admitted) for at in admitted]
    assert max(counts) <= quota + RULES.tolerance(fleet.holder)
    assert max(counts) >= quota
    assert len(admitted) >= quota * 4 * 0.9


@pytest.mark.parametrize(("rate", "burst"), [(2.0, 2.0), (31.0, 31.0)])
def test_requests_within_the_rate_are_not_refused(clock, rate, burst):
    fleet, rng = Fleet(clock, 40, rate, burst), random.Random(2)
    clock.advance(20.0)
    central = TokenBucket(rate, burst, burst, clock.now())
    refused = due = asked = 0
    for _ in range(400):
        clock.advance(0.1)
        for _ in range(sum(rng.random() < rate / 1.6 / 10 / 8 for _ in range(8))):
            asked += 1
            due += not central.take(clock.now())
            refused += not fleet.admit(rng.randrange(40)).admitted
    assert refused <= due + asked * 0.01


def test_refusal_tells_when_a_token_may_be_there(clock):
    fleet = Fleet(clock, 3, 1.0, 2.0)
    while (answer := fleet.admit(0)).admitted:
        pass
    assert answer.reason == OVER_RATE
    assert 0.0 < answer.retry_after_s <= 3.0


def test_unlimited_workspace_asks_nobody(clock):
    fleet = Fleet(clock, 3, 0.0, 0.0)
    assert fleet.admit(0).admitted
    assert not fleet.vms[0].channel.sent


def test_next_in_rank_steps_in_for_a_small_workspace(clock):
    fleet = Fleet(clock, 6, 2.0, 2.0)
    clock.advance(10.0)
    first = fleet.limiters[0]._ranked(fleet.holder)[0]
    gone = next(vm for vm in fleet.vms if vm.name == first)
    fleet.network.cut.add(gone.address)
    asker = next(n for n, vm in enumerate(fleet.vms) if vm is not gone)
    answers = []
    for _ in range(20):
        clock.advance(0.5)
        answers.append(fleet.admit(asker))
    assert sum(answer.admitted for answer in answers) >= 15


def test_cut_off_vm_refuses_rather_than_guesses(clock):
    fleet = Fleet(clock, 12, 31.0, 31.0)
    clock.advance(10.0)
    count = RULES.share_count(fleet.holder, 12)
    holders = fleet.limiters[0]._ranked(fleet.holder)[:count]
    cut = next(n for n, vm in enumerate(fleet.vms) if vm.name not in holders)
    fleet.network.cut.add(fleet.vms[cut].address)
    answer = fleet.admit(cut)
    assert (answer.admitted, answer.reason) == (False, HOLDERS_AWAY)


def test_share_of_a_late_member_fills_before_it_is_asked_for(clock):
    fleet = Fleet(clock, 1, 20.0, 40.0)
    vm = fleet.vms[0]
    # The configuration was known before this VM became a member.
    vm.catalog.apply([WatchEvent(f"members/{vm.name}", None, 50)], 50)
    assert not fleet.limiters[0]._buckets
    clock.advance(10.0)
    vm.catalog.apply([WatchEvent(f"members/{vm.name}", vm.member.encode(), 51)], 51)
    clock.advance(5.0)
    assert [fleet.admit(0).admitted for _ in range(5)] == [True] * 5


def test_share_that_moved_is_dropped(clock):
    fleet = Fleet(clock, 2, 20.0, 40.0)
    vm = fleet.vms[0]
    clock.advance(10.0)
    assert "acme" in fleet.limiters[0]._buckets
    members = [
        WatchEvent(f"members/new-{n}", vm.member.encode(), 10 + n) for n in range(60)
    ]
    vm.catalog.apply(members, 100)
    held = "acme" in fleet.limiters[0]._buckets
    count = RULES.share_count(fleet.holder, 62)
    assert held == (vm.name in fleet.limiters[0]._ranked(fleet.holder)[:count])


def test_holder_that_stops_grants_no_more_and_asks_others(clock):
    fleet = Fleet(clock, 2, 20.0, 40.0)
    clock.advance(10.0)
    fleet.limiters[0].leave()
    tokens = [fleet.admit(0).admitted for _ in range(40)]
    own = RULES.size(fleet.holder) / 2
    # All came from the other holder, whose bucket holds half of them.
    assert sum(tokens) == int(own)
    assert not fleet.admit(1).admitted


class ConservedTokens(RuleBasedStateMachine):
    """Admits, cuts, heals, restarts; the bound of every window must hold."""

    SIZE = 6

    @initialize(rate=st.sampled_from([1.0, 8.0, 31.0]))
    def start(self, rate):
        self.clock = PausedClock()
        self.fleet = Fleet(self.clock, self.SIZE, rate, rate)
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
        holder = self.fleet.holder
        allowed = holder.rate * RULES.window_s + holder.burst
        assert len(self.admitted) <= allowed + RULES.tolerance(holder)


ConservedTokens.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
test_tokens_are_conserved = ConservedTokens.TestCase
