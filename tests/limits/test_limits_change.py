"""Tests of the limits' invariant while the configuration changes rates and bursts."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, precondition, rule, run_state_machine_as_test
from scripted_fleet import OPTIONS, ScriptedFleet
from test_limits_invariant import EPSILON, SETTINGS, SMALL, VMS, FleetMachine

from lacewingpond.config.model import Config, Workspace
from lacewingpond.limits.bucket import Bucket
from lacewingpond.limits.limit_history import LimitHistory
from lacewingpond.limits.limiter import FleetLimiter

SPREAD_S = OPTIONS.config_spread_s
GRANT_S = OPTIONS.max_ttl_s * (1.0 + OPTIONS.max_clock_drift)


class ChangingBound:
    """Upper bound on admissions under limits that change at known times."""

    def __init__(self, at, rate, burst):
        self.versions = [(at, rate, burst)]

    def change(self, at, rate, burst):
        self.versions.append((at, rate, burst))

    def in_force(self, time, lag_s):
        ends = [version[0] + lag_s for version in self.versions[1:]]
        ends.append(float("inf"))
        return [
            v for v, end in zip(self.versions, ends, strict=True) if v[0] <= time <= end
        ]

    def burst(self, time):
        return max(v[2] for v in self.in_force(time, SPREAD_S + GRANT_S))

    def tokens(self, start, end):
        starts = [v[0] for v in self.versions]
        edges = {start, end, *starts, *(at + SPREAD_S for at in starts)}
        inside = sorted(edge for edge in edges if start <= edge <= end)
        total = 0.0
        for left, right in zip(inside, inside[1:], strict=False):
            middle = (left + right) / 2.0
            rate = max(v[1] for v in self.in_force(middle, SPREAD_S))
            total += rate * (right - left)
        return total

    def excess(self, times):
        least, worst, tokens = float("inf"), float("-inf"), 0.0
        for number, time in enumerate(times):
            tokens += self.tokens(times[number - 1], time) if number else 0.0
            line = number - tokens
            least = min(least, line + self.burst(time))
            worst = max(worst, line + 1.0 - least)
        return worst


class ChangingMachine(FleetMachine):
    def __init__(self):
        super().__init__()
        self.now = self.fleet.base.now
        self.bound = ChangingBound(self.now(), 40.0, 24.0)
        self.known = dict.fromkeys(self.fleet.vms, 1)

    @precondition(lambda self: self.cfg.revision < 6)
    @rule(
        rate=st.sampled_from((5.0, 40.0, 90.0)), burst=st.sampled_from((1.0, 9.0, 48.0))
    )
    def publish(self, rate, burst):
        if self.now() - self.bound.versions[-1][0] < 2.0 * SPREAD_S:
            return
        changed = Workspace("large", rate, burst)
        self.cfg = Config(self.cfg.revision + 1, (SMALL, changed))
        self.bound.change(self.now(), rate, burst)

    @rule(vm=VMS)
    def learn(self, vm):
        if self.known[vm] < self.cfg.revision:
            self.known[vm] = self.cfg.revision
            self.fleet.limiters[vm].configure(self.cfg)

    @rule(ms=st.sampled_from((1, 10, 90, 950, 2500, 6500)))
    def advance(self, ms):
        due_s = self.bound.versions[-1][0] + SPREAD_S - self.now()
        if due_s <= ms / 1000.0:
            for vm in self.fleet.vms:
                self.learn(vm)
        self.fleet.advance(ms / 1000.0)

    @rule(vm=VMS)
    def crash(self, vm):
        # A restarted VM knows no older version, which the docs state.
        if self.now() - self.bound.versions[-1][0] > 3.0 * SPREAD_S:
            super().crash(vm)

    @invariant()
    def no_window_holds_too_much(self):
        times = self.fleet.admitted.get("w:large", [])
        assert self.bound.excess(times) <= EPSILON

    @invariant()
    def slices_keep_their_sum(self):
        """Outstanding grants may exceed a lowered burst until they expire."""
        for limiter in self.fleet.limiters.values():
            for part in limiter.owner.slices_in_use():
                room = max(part.limit.burst - part.outstanding, 0.0)
                assert 0.0 <= part.level <= room + EPSILON


def test_no_window_exceeds_changing_limits():
    run_state_machine_as_test(
        ChangingMachine, settings=settings(SETTINGS, max_examples=50)
    )


def half_spread_excess():
    """Return the excess while only VMs without an old slice know of a raised burst.

    A higher burst adds slices on other shards. If they granted at once, the old and
    the new slices together would exceed the bound.
    """
    before, after = Workspace("large", 90.0, 9.0), Workspace("large", 90.0, 24.0)
    fleet = ScriptedFleet(FleetLimiter, Config(1, (before,)), 8, 32)
    fleet.advance(1.0)
    bound = ChangingBound(fleet.base.now(), before.rate, before.burst)
    bound.change(fleet.base.now(), after.rate, after.burst)
    slices = Bucket("w:large", before.rate, before.burst).shards(32, OPTIONS)
    owners = {fleet.table.owners[shard].vm_id for shard in slices}
    for vm in set(fleet.vms) - owners:
        fleet.limiters[vm].configure(Config(2, (after,)))
    for _ in range(70):
        fleet.advance(0.04)
        fleet.rush("w:large", 3)
    return bound.excess(fleet.admitted["w:large"])


def test_new_slices_grant_nothing_extra_while_a_change_propagates():
    assert half_spread_excess() <= EPSILON


def test_bound_is_exceeded_when_raised_limits_apply_at_once(monkeypatch):
    monkeypatch.setattr(LimitHistory, "is_propagated", lambda _self, _now: True)
    assert half_spread_excess() > EPSILON


def test_removed_workspace_is_admitted_no_more():
    fleet = ScriptedFleet(FleetLimiter, Config(1, (SMALL,)))
    fleet.rush("w:small", 1)
    assert len(fleet.admitted["w:small"]) == SMALL.burst
    for vm in fleet.vms:
        fleet.limiters[vm].configure(Config(2, ()))
    fleet.advance(10.0)
    fleet.rush("w:small", 1)
    assert len(fleet.admitted["w:small"]) == SMALL.burst
    for limiter in fleet.limiters.values():
        assert not limiter.owner.has_slices()
