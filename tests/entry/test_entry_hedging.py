"""Tests of policy, budgets and targets of hedged requests, without a network."""

import random

import pytest
from entry_helper import config, entry_target, route, workspace
from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs
from test_entry_daemon import SETTINGS

from lacewingpond.entry.hedging.hedging import (
    EXTRA_RESERVE,
    REPORT_INTERVAL_S,
    Hedging,
)
from lacewingpond.entry.hedging.options import HedgingOptions
from lacewingpond.entry.hedging.policy import HedgeRefusal, HedgingPolicy, SlowRequest
from lacewingpond.entry.hedging.targets import unfit_for_hedge
from lacewingpond.entry.model.service_classes import service_classes
from lacewingpond.entry.settings import check_entry_settings
from lacewingpond.entry.targets.latency import RouteLatency
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.retries.options import RetryOptions
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

IDEMPOTENT = route(idempotent=True, max_attempts=3)
SLOW = SlowRequest(IDEMPOTENT, "svc", 0, 1, 2.0, 0.1)


def policy(max_extra=0.1):
    found = HedgingPolicy(HedgingOptions(max_extra))
    found.classes = {"svc": frozenset((0, 1)), "of one class": frozenset((1,))}
    return found


def hedging(max_extra=0.1, retries=None):
    return Hedging(HedgingOptions(max_extra), retries or unlimited_retries())


def unlimited_retries():
    budget = RetryBudget(RetryOptions(1.0, 1e6, 1e6))
    budget.earn("svc")
    return budget


# One row for each case in which the design page forbids a hedge: extra work that may
# run a request twice, delays other requests, or comes too late to help.
@pytest.mark.parametrize(
    ("changes", "load", "expected"),
    [
        ({}, 0.69, None),
        ({"route": route(max_attempts=3)}, 0.0, HedgeRefusal.NON_IDEMPOTENT),
        ({"attempts": 3}, 0.0, HedgeRefusal.MAX_ATTEMPTS),
        ({"attempts": 2}, 0.0, None),
        ({"time_left_s": 0.1}, 0.0, HedgeRefusal.DEADLINE),
        ({}, 0.7, HedgeRefusal.LOAD),
        ({"priority": 1}, 0.36, HedgeRefusal.URGENT_WORK),
        ({"priority": 1}, 0.35, None),
        ({"priority": 0}, 0.36, None),
        ({"service": "of one class", "priority": 1}, 0.69, None),
    ],
)
def test_request_that_must_not_be_hedged_is_refused(changes, load, expected):
    asked = structs.replace(SLOW, **changes)
    assert policy().refusal(asked, load, 0.0) is expected


# Extra work makes full targets reject more requests.
def test_rejection_by_a_target_of_the_service_forbids_hedges_for_a_second():
    found = policy()
    found.record_rejection("svc", 10.0)
    found.record_rejection("other", 10.9)
    assert found.refusal(SLOW, 0.0, 10.99) is HedgeRefusal.REJECTIONS
    assert found.refusal(SLOW, 0.0, 11.0) is None


# Without the limit set, no request may be hedged.
def test_default_options_forbid_hedges():
    off = HedgingPolicy(HedgingOptions())
    assert not off.enabled
    assert off.refusal(SLOW, 0.0, 0.0) is HedgeRefusal.OFF


# The class of a workspace counts before that of the route, so that its work is found.
def test_classes_of_a_service_come_from_workspaces_before_routes():
    first = structs.replace(workspace(name="a"), priority=3)
    second = workspace(name="b", keys=("k",))
    public = route(name="p", prefix="/p/", public=True, priority=5)
    cfg = config(routes=(route(priority=1), public), workspaces=(first, second))
    assert service_classes(cfg) == {"svc": frozenset({1, 3, 5})}


# The wait follows the latency of the route: a fixed delay suits only one route.
def test_wait_is_the_percentile_of_the_route():
    latency = RouteLatency(2.0)
    for number in range(200):
        latency.observe(0.1 + 0.001 * (number % 10))
    wait_s = policy().delay_s(latency)
    assert latency.exceeded_by(0.5) < wait_s == latency.exceeded_by(1.0 - 0.95)


# A burst of slow requests makes more hedges than the operators allow.
@given(
    st.lists(st.booleans(), max_size=200), st.floats(0.001, 0.2), st.integers(0, 200)
)
def test_hedges_of_any_run_of_requests_are_bounded(slow, max_extra, start):
    found = hedging(max_extra)
    hedges = []
    for is_slow in slow:
        found.earn("svc", IDEMPOTENT)
        granted = is_slow and found.refusal(SLOW, 0.0, 0.0) is None
        hedges.append(granted and found.spend("svc"))
    run = hedges[start:]
    assert sum(run) <= max_extra * len(run) + EXTRA_RESERVE + 1e-6


# A VM that sees few requests never earns a whole hedge at once.
def test_fractions_of_hedges_add_up_and_non_idempotent_requests_earn_none():
    found = hedging(0.05)
    for _ in range(19):
        found.earn("svc", IDEMPOTENT)
        found.earn("svc", route())
    assert found.refusal(SLOW, 0.0, 0.0) is HedgeRefusal.EXTRA_BUDGET
    found.earn("svc", IDEMPOTENT)
    found.earn("svc", IDEMPOTENT)
    assert found.refusal(SLOW, 0.0, 0.0) is None


# Hedges take the retries that requests at failing targets need.
@given(st.floats(2.0, 200.0), st.lists(st.booleans(), min_size=1, max_size=100))
def test_hedges_leave_half_of_the_retries(reserve, slow):
    retries = RetryBudget(RetryOptions(0.2, reserve, reserve))
    found = hedging(0.2, retries)
    for is_slow in slow:
        retries.earn("svc")
        found.earn("svc", IDEMPOTENT)
        if is_slow and found.refusal(SLOW, 0.0, 0.0) is None:
            assert found.spend("svc") and retries.spend("svc")
    left = 0.0
    while retries.spend("svc"):
        left += 1.0
    assert left > reserve / 2 - 1.0


# In a large fleet a VM's reserve is below two retries: half of it is no whole retry,
# and hedges would never start.
@pytest.mark.parametrize("reserve", [1.0, 188.0 / 120])
def test_hedges_take_the_retry_of_a_small_reserve_only_when_it_is_full(reserve):
    retries = RetryBudget(RetryOptions(0.2, 0.0, reserve))
    while not retries.can_spend_spare("svc"):
        retries.earn("svc")
    assert retries._balances["svc"] == reserve
    retries.spend("svc")
    retries.earn("svc")
    assert not retries.can_spend_spare("svc")


# A hedge at a target that is cold, ejected or full is slower than the first attempt.
def test_targets_that_get_no_hedges():
    names = ("sound", "cold", "ejected", "unreachable", "full")
    specs = [entry_target(n, warmup_left_s=3.0 * (n == "cold")) for n in names]
    states = {spec.target_id: TargetState(spec, 0.0) for spec in specs}
    for _ in range(10):
        states["ejected"].health.add(1.0, 0, 8.0, 0)
    states["unreachable"].record_connect_failure(1.0)
    states["full"].in_flight = 6
    unfit = unfit_for_hedge(states.values(), 1.0)
    assert unfit == {"cold", "ejected", "unreachable", "full"}


def run_pattern(max_extra, requests=4000):
    """Return the latencies and the number of hedges with one slow target of ten."""
    rng, found, latency = random.Random(5), hedging(max_extra), RouteLatency(1.0)
    latencies_s, hedges = [], 0

    def serve():
        slow = 8.0 if rng.randrange(10) == 0 else 1.0
        return slow * 0.1 * rng.lognormvariate(0.0, 0.3)

    for _ in range(requests):
        found.earn("svc", IDEMPOTENT)
        took_s, wait_s = serve(), found.policy.delay_s(latency)
        if took_s > wait_s and found.refusal(SLOW, 0.3, 0.0) is None:
            hedges += found.spend("svc")
            took_s = min(took_s, wait_s + serve())
        latency.observe(took_s)
        latencies_s.append(took_s)
    return sorted(latencies_s), hedges


# Load pattern: one target of ten is 8 times slower; its requests are the slowest 10%.
def test_hedging_lowers_the_p99_with_a_slow_target_within_the_limit():
    requests, max_extra = 4000, 0.15
    without, none = run_pattern(0.0, requests)
    hedged, hedges = run_pattern(max_extra, requests)
    p99 = round(requests * 0.99)
    assert none == 0
    assert hedged[p99] < without[p99]
    assert 0 < hedges <= max_extra * requests + EXTRA_RESERVE


# Counts that no line shows would hide why slow requests are not hedged.
def test_counts_are_logged_at_intervals_if_they_changed():
    found, log = hedging(), RecordingDecisionLog()
    found.report("vm-1", log, 0.0)
    found.count_refusal(HedgeRefusal.LOAD)
    found.report("vm-1", log, 1.0)
    found.count_refusal(HedgeRefusal.LOAD)
    found.report("vm-1", log, 1.0 + REPORT_INTERVAL_S / 2)
    found.report("vm-1", log, 1.0 + REPORT_INTERVAL_S)
    assert [line[3] for line in log.lines] == [{"refused_load": 1}, {"refused_load": 2}]


# A limit out of range would let hedges use up the fleet's retries, or never start.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("max_extra", 0.21),
        ("max_extra", -0.1),
        ("max_extra", float("nan")),
        ("percentile", 0.49),
        ("percentile", 1.0),
    ],
)
def test_option_out_of_range_is_a_finding(name, value):
    valid = {"max_extra": 0.2, "percentile": 0.999}
    assert check_entry_settings({**SETTINGS, "hedging": valid}, "s").is_ok()
    found = check_entry_settings({**SETTINGS, "hedging": {name: value}}, "s")
    assert [f.place for f in found.unwrap_err()] == [f"s.hedging.{name}"]
