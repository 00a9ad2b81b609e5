"""Tests of the parts of the balance across failure domains, each on its own."""

import math
from types import SimpleNamespace

import pytest
from entry_helper import decisions
from hypothesis import given
from hypothesis import strategies as st

from lacewingpond.entry.balance.controller import SpillController
from lacewingpond.entry.balance.domain_balance import UPDATE_INTERVAL_S, DomainBalance
from lacewingpond.entry.balance.loads import ServiceLoads, measured_loads
from lacewingpond.entry.balance.reporter import (
    MAX_RECEIVED_BYTES_PER_S,
    interval_s,
    max_report_bytes,
)
from lacewingpond.entry.balance.reports import REPORT_MAX_AGE_S, DomainReports
from lacewingpond.entry.balance.rows import MAX_ROWS, bounded_report, load_rows
from lacewingpond.entry.peers.messages import DomainLoads, LoadRow, encode
from lacewingpond.entry.settings import BalanceSettings
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.telemetry.decision_metrics import DecisionMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import ManualClock

DOMAINS = ("zone-a", "zone-b", "zone-c")
SERVICES = ("catalogue-search", "cover-fetch", "lending")


def entry_target(number, service="svc", domain="zone-a", slots=6):
    spec = SimpleNamespace(
        target_id=f"t{number}",
        service=service,
        address="127.0.0.1:9",
        failure_domain=domain,
        slots=slots,
        warmup_left_s=0.0,
    )
    return TargetState(spec, 0.0)


counts = st.dictionaries(st.sampled_from(DOMAINS), st.integers(1, 1000), max_size=3)
in_flight = st.fixed_dictionaries(
    dict.fromkeys(DOMAINS, st.floats(0.0, 5000.0)),
)


# Load patterns: any loads, sizes and lost domains, from one update to the next.
@given(
    st.lists(st.tuples(counts, in_flight, in_flight), min_size=1, max_size=6),
    counts,
)
def test_weights_are_a_distribution_and_leave_no_free_slots_unused(updates, sizes):
    clock, log = ManualClock(), RecordingDecisionLog()
    fleet = SimpleNamespace(failure_domain="zone-a", domain_sizes=lambda: sizes)
    cfg = BalanceSettings(enabled=True)
    balance = DomainBalance(cfg, None, fleet, DomainReports(clock), clock, log)
    for slots, own, others in updates:
        clock.advance(UPDATE_INTERVAL_S)
        demand = {"zone-a": sum(own.values()), "zone-b": sum(others.values())}
        loads = ServiceLoads(slots, own, others, demand)
        balance._measured["svc"] = (clock.now(), loads)
        usable = [entry_target(0, domain=d, slots=n) for d, n in slots.items()]
        weights = balance.weights("svc", usable)
        assert weights.keys() == slots.keys()
        assert all(math.isfinite(w) and w > 0.0 for w in weights.values())
        if slots:
            assert sum(weights.values()) == pytest.approx(1.0)
        assert math.isfinite(balance.load("svc"))


# Load patterns: any sequence of loads. Guards against a share that leaves its range or
# does not return to 0 when the load is low again.
@given(st.lists(st.tuples(*[st.floats(0.0, 1e6)] * 4), max_size=20))
def test_share_stays_in_range_and_returns(updates):
    controller = SpillController(0.6)
    for elapsed_s, near, mean, demand in updates:
        assert 0.0 <= controller.update(elapsed_s, near, mean, demand) <= 0.95
    for _ in range(40):
        controller.update(0.25, 0.1, 0.1, 0.1)
    assert controller.share < 0.01


# Load pattern: VMs of another domain that do not balance load the near targets. Guards
# against near targets that stay above the mean load for good.
def test_integral_corrects_what_the_plan_does_not_know():
    controller = SpillController(0.6)
    # The others put 0.6 on each near slot, and the own demand is 0.7 per near slot.
    for _ in range(80):
        share = controller.update(0.25, 0.6 + 0.7 * (1.0 - controller.share), 0.8, 0.7)
    assert 0.6 + 0.7 * (1.0 - share) == pytest.approx(0.9, abs=0.05)


def fleet_states(services=SERVICES, domains=DOMAINS, load=150):
    states = [entry_target(0, s, d, 100) for s in services for d in domains]
    for state in states:
        state.in_flight = load
    return states


def test_report_of_three_services_and_domains_takes_300_bytes_at_most():
    report = bounded_report("zone-a", load_rows(fleet_states(), 0.0))
    assert len(report.rows) == 9
    assert len(encode(report)) <= 300


# Guards against reports that are fragmented, or use up the bytes for control.
@pytest.mark.parametrize(
    "name", ["s{:02}", "a-service-of-a-rather-long-name-{:02}" * 3]
)
def test_large_reports_keep_the_largest_rows_that_fit(name):
    states = fleet_states([name.format(n, n, n) for n in range(60)], DOMAINS)
    for number, state in enumerate(states):
        state.in_flight = number
    rows = load_rows(states, 0.0)
    report = bounded_report("zone-a", rows)
    assert len(encode(report)) <= 1200
    assert 0 < len(report.rows) <= MAX_ROWS
    assert list(report.rows) == rows[: len(report.rows)]
    assert report.rows[0].in_flight == len(states) - 1


@pytest.mark.parametrize("others", [1, 2, 5, 21])
def test_reports_of_all_domains_together_are_bounded(others):
    received = others * max_report_bytes(others) / interval_s(others)
    assert received <= MAX_RECEIVED_BYTES_PER_S
    # Two reports must get lost before a report is too old.
    assert 2 * interval_s(others) <= REPORT_MAX_AGE_S


def test_idle_service_is_reported_so_that_receivers_do_not_estimate_it():
    rows = load_rows(fleet_states(["svc"], load=0), 0.0)
    assert rows == [LoadRow("svc", "zone-c", 0)]


def loads_of(clock, reports):
    sizes = {"zone-a": 2, "zone-b": 3}
    states = [entry_target(1), entry_target(2, domain="zone-b")]
    states[0].in_flight = 4
    return measured_loads("svc", states, "zone-a", sizes, reports, clock.now())


# Load pattern: uneven demand. Guards against the old estimate where loads are known,
# and against old loads where reports are lost.
def test_reported_loads_replace_the_estimate_until_they_are_too_old(clock):
    reports = DomainReports(clock)
    assert loads_of(clock, reports).others == {"zone-a": 0.0, "zone-b": 6.0}
    row = LoadRow("svc", "zone-a", 5)
    reports.record(DomainLoads("zone-b", (row, LoadRow("svc", "zone-x", 9))))
    assert loads_of(clock, reports).others == {"zone-a": 5.0, "zone-b": 0.0}
    reports.record(DomainLoads("zone-b", (LoadRow("other", "zone-a", -5),)))
    assert loads_of(clock, reports).others == {"zone-a": 0.0, "zone-b": 6.0}
    reports.record(DomainLoads("zone-b", (row,)))
    clock.advance(REPORT_MAX_AGE_S + 0.01)
    assert loads_of(clock, reports).others == {"zone-a": 0.0, "zone-b": 6.0}


def test_line_and_gauge_tell_that_a_service_spills(clock):
    log = RecordingDecisionLog()
    metrics = DecisionMetrics(log, "/metrics", clock)
    cfg, reports = BalanceSettings(enabled=True), DomainReports(clock)
    sizes = {"zone-a": 1, "zone-b": 1}
    fleet = SimpleNamespace(failure_domain="zone-a", domain_sizes=lambda: sizes)
    balance = DomainBalance(cfg, None, fleet, reports, clock, metrics)
    usable = [entry_target(1, slots=60), entry_target(2, domain="zone-b", slots=60)]
    for in_flight, why, count in ((90.0, "spills", 1), (6.0, "near", 0)):
        for _ in range(20):
            clock.advance(UPDATE_INTERVAL_S)
            own = {"zone-a": in_flight}
            loads = ServiceLoads({}, own, {}, own)
            balance._measured["svc"] = (clock.now(), loads)
            balance.weights("svc", usable)
        assert decisions(log, "balance")[-1] == ("svc", why)
        assert f"lacewingpond_spilling_services {count}\n" in metrics.text()
    assert len(decisions(log, "balance")) == 2
