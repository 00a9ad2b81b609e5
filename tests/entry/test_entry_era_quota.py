"""Tests that quotas hold while the store comes back from older copies."""

import pytest
from entry_helper import Network, workspace
from era_helper import EraFleet
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from lacewingpond.entry.quota.limiter import QuotaLimiter
from lacewingpond.entry.quota.rules import QuotaRules
from lacewingpond.entry.registration import LEASE_TTL_S
from lacewingpond.util.clock import ManualClock

RULES = QuotaRules(window_s=5.0, overage=0.1, slack=20.0)
WORKSPACE = workspace(rate=60.0, burst=60.0)
SIZE, MAX_SIZE = 4, 8
SETTLE_S = 12.0  # members that start together share initial tokens before


class QuotaFleet(EraFleet):
    """Daemons that admit requests of one workspace."""

    def __init__(self, clock):
        self.limiters = []
        self.admitted = []
        super().__init__(SIZE, Network(), clock)

    def add(self, number):
        vm = super().add(number).vm
        limiter = QuotaLimiter(RULES, vm.view, vm.fleet, vm.channel, self.clock, vm.rng)
        self.limiters.append(limiter)

    def ask(self, number, count):
        """Ask for tokens on one daemon until one is refused."""
        limiter = self.limiters[number % len(self.limiters)]
        for _ in range(count):
            if not limiter.admit(WORKSPACE).admitted:
                return
            self.admitted.append(self.clock.now())

    def allowed(self):
        quota = WORKSPACE.rate * RULES.window_s + WORKSPACE.burst
        return quota + RULES.tolerance(WORKSPACE)

    def most_in_a_window(self):
        return max(
            (
                sum(at <= each < at + RULES.window_s for each in self.admitted)
                for at in self.admitted
            ),
            default=0,
        )


# Guards against two daemons that hold one share of a quota, each from another era.
class EraQuotaMachine(RuleBasedStateMachine):
    """A greedy workspace beside a store that goes back, and members that change."""

    @initialize()
    def begin(self):
        self.clock = ManualClock()
        self.fleet = QuotaFleet(self.clock)
        self.fleet.run(SETTLE_S)
        self.copies = [self.fleet.store.copy()]

    @rule()
    def copy(self):
        self.copies.append(self.fleet.store.copy())

    @rule(index=st.integers(0, 3), without=st.integers(0, MAX_SIZE))
    def lose(self, index, without):
        copy = self.copies[min(index, len(self.copies) - 1)]
        if without < SIZE:
            copy = self.fleet.store.copy(without=f"members/vm-{without + 1}")
        self.fleet.store.come_back(copy)
        self.copies = [self.fleet.store.copy()]

    @rule(number=st.integers(0, SIZE - 1), cut=st.booleans())
    def connect(self, number, cut):
        each = self.fleet.vms[number]
        if cut:
            self.fleet.cut(each)
        else:
            each.store.unavailable = False
            self.fleet.heal(each)

    @rule()
    def join(self):
        if len(self.fleet.vms) < MAX_SIZE:
            self.fleet.add(len(self.fleet.vms) + 1)
            self.fleet.run(0.1)

    @rule(number=st.integers(0, SIZE - 1))
    def leave(self, number):
        self.fleet.vms[number].registration.leave()
        self.fleet.limiters[number].leave()

    @rule(numbers=st.lists(st.integers(0, MAX_SIZE), max_size=8))
    def ask(self, numbers):
        for number in numbers:
            self.fleet.ask(number, 30)

    @rule(seconds=st.sampled_from([0.2, 1.0, 2.5]))
    def wait(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.fleet.run(0.1)
            for number in range(len(self.fleet.limiters)):
                self.fleet.ask(number, 30)

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        try:
            assert self.fleet.most_in_a_window() <= self.fleet.allowed()
        finally:
            self.fleet.stop()


EraQuotaMachine.TestCase.settings = settings(max_examples=30, stateful_step_count=30)
TestQuotaOverEras = EraQuotaMachine.TestCase


# Guards against the share of a living daemon that the copy lacks being given to others.
@pytest.mark.parametrize("number", range(SIZE))
def test_daemon_that_is_cut_off_and_lost_by_the_store_shares_the_quota(clock, number):
    fleet = QuotaFleet(clock)
    fleet.run(SETTLE_S)
    gone = fleet.vms[number]
    fleet.cut(gone)
    fleet.store.come_back(fleet.store.copy(without=f"members/{gone.vm.name}"))
    for _ in range(round(LEASE_TTL_S * 0.8 / 0.1)):
        fleet.run(0.1)
        for limiter in range(SIZE):
            fleet.ask(limiter, 30)
    assert fleet.most_in_a_window() <= fleet.allowed()
    fleet.stop()
