"""Tests of admission to loaded services, on one VM with a service in memory."""

import random

import gevent
import pytest
from admission_helper import CLASSES, SERVICE_S, SLOTS, MemoryService
from entry_helper import config, route, workspace
from hypothesis import given
from hypothesis import strategies as st

from lacewingpond.entry.admission.options import AdmissionOptions
from lacewingpond.entry.admission.priority_classes import PriorityClasses
from lacewingpond.entry.admission.queue_admission import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    SWEEP_INTERVAL_S,
)
from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.entry.targets.reporter import LOAD_REPORT_S
from lacewingpond.explain.log_line import LogLine
from lacewingpond.explain.timeline import RequestTimeline
from lacewingpond.http.interrupt import RequestInterruptedError
from lacewingpond.http.run_state import RunState
from lacewingpond.util.clock import ManualClock

MAX_LOSS = 0.05  # of the served share of a workspace, by another one's burst
CAPACITY_PER_S = SLOTS / SERVICE_S


@pytest.fixture
def service(clock):
    service = MemoryService(clock)
    yield service
    service.close()


def admissions(service):
    return [(why, f) for what, _, why, f in service.log.lines if what == "admission"]


# Guards against classes that are not those of the configuration.
def test_thresholds_are_evenly_spaced_over_the_classes_of_a_service():
    routes = (route(priority=3), route(name="p", prefix="/p/", priority=5, public=True))
    urgent = EntryWorkspace("urgent", ("key",), priority=1)
    classes = PriorityClasses(config(1, routes, (workspace(), urgent)))
    options = AdmissionOptions(busy_load=1.0, max_load=2.0)
    thresholds = [classes.threshold("svc", p, options) for p in (1, 3, 5)]
    assert thresholds == [2.0, 1.5, 1.0]
    assert classes.threshold("svc", 4, options) == 1.0
    assert classes.threshold("other", 7, options) == options.max_load


@pytest.mark.parametrize(
    ("load", "admitted"), [(0.9, {0, 1, 2}), (1.2, {0, 1}), (1.7, {0}), (2.0, set())]
)
def test_each_class_is_admitted_below_its_threshold(service, load, admitted):
    for priority in CLASSES:
        service.fill(load)
        caller = service.send(service.request(priority))
        assert (service.events[-1][1] == "admitted") == (priority in admitted)
        caller.kill()


def test_nothing_waits_or_is_logged_when_off(service):
    service.admission.options = AdmissionOptions()
    service.fill(3.0)
    request = service.request(2)
    assert service.admission.admit(request) is None
    assert service.admission.retry_after_s(request) is None
    assert service.admission.is_most_urgent(request)
    assert not service.log.lines


# Guards against a request that is held once by each VM on its way.
def test_relayed_request_does_not_wait(service):
    service.fill(3.0)
    assert service.admission.admit(service.request(2, is_relayed=True)) is None


# Load pattern: flash crowd. Guards against requests that wait for nothing: what can't
# be served within the objective is refused on arrival, and says not run.
def test_flash_crowd_is_refused_on_arrival_beyond_what_can_be_served(service, clock):
    service.fill(2.0)
    callers = [service.send(service.request(0)) for _ in range(100)]
    refusals = [c.value for c in callers if c.ready() and c.value is not None]
    waiting = service.admission.waiting
    objective_s = service.routes[0].target_latency_s
    rate_per_s = 2.0 * CAPACITY_PER_S  # by the load and the duration of requests
    assert 0 < waiting <= min(rate_per_s * objective_s, 64)
    assert len(refusals) == 100 - waiting
    assert {(r.status, r.reason, r.run) for r in refusals} == {
        (503, "no-room", RunState.NOT_RUN)
    }
    assert all(
        MIN_RETRY_AFTER_S <= r.retry_after_s <= MAX_RETRY_AFTER_S for r in refusals
    )
    assert len({r.retry_after_s for r in refusals}) > 10


# Guards against waits that outlast the objective, if the load never falls.
def test_wait_is_bounded_by_the_objective(service, clock):
    service.fill(2.0)
    caller = service.send(service.request(0))
    clock.advance(service.routes[0].target_latency_s - SERVICE_S + SWEEP_INTERVAL_S)
    gevent.sleep(0)
    assert caller.ready() and caller.value.reason == "no-room"
    assert service.admission.waiting == 0


# Load pattern: lost reports. Guards against a service that stays closed although no VM
# knows of any load: the load ages out and everything is admitted.
def test_lost_reports_release_what_waits(service, clock):
    service.fill(2.0)
    callers = [service.send(service.request(p)) for p in CLASSES for _ in range(3)]
    service.reported = False
    clock.advance(SWEEP_INTERVAL_S)
    gevent.sleep(0)
    assert service.admission.waiting == 0
    assert not any(caller.ready() for caller in callers)  # they run
    assert service.count("admitted")["acme"] == 9


# Guards against callers that leave and still take a place in the queue.
def test_callers_that_leave_free_their_places(service, clock):
    service.fill(2.0)
    left = []
    for _ in range(5):
        service.send(service.request(0, gone=lambda: bool(left)))
    service.send(service.request(0))
    left.append(True)
    clock.advance(0.2)
    assert service.admission.waiting == 1
    causes = [fields["cause"] for why, fields in admissions(service)]
    assert causes == ["caller-gone"] * 5


# Guards against a planned stop that leaves requests or counts behind: what waits is
# served while the VM drains, and interrupted at its end.
def test_planned_stop_serves_or_interrupts_the_backlog(service, clock):
    service.fill(2.0)
    callers = [service.send(service.request(0)) for _ in range(4)]
    service.fill(1.8)
    clock.advance(SWEEP_INTERVAL_S)
    gevent.sleep(0)
    assert service.count("admitted")["acme"] == 2
    for caller in callers[2:]:
        caller.kill(RequestInterruptedError)
    assert service.admission.waiting == 0
    causes = [f.get("cause") for _, f in admissions(service)]
    assert causes == [None, None, "interrupted", "interrupted"]


# Guards against a full queue of less urgent requests that keeps urgent ones out.
def test_full_queue_evicts_the_least_urgent_class_first(clock):
    service = MemoryService(clock, max_waiting=3)
    service.fill(2.0)
    less_urgent = [service.send(service.request(p)) for p in (2, 1, 2)]
    service.send(service.request(0))
    gevent.sleep(0)
    assert [caller.ready() for caller in less_urgent].count(True) == 1
    assert not less_urgent[1].ready()
    assert service.send(service.request(2)).value.reason == "no-room"
    service.close()


def test_urgent_classes_get_the_shorter_retry_times(service):
    service.fill(2.0)
    times = [
        [service.admission.retry_after_s(service.request(p)) for _ in range(50)]
        for p in CLASSES
    ]
    assert max(times[0]) <= min(times[1]) and max(times[1]) <= min(times[2])


# Load pattern: every VM of a large fleet has a backlog as the load falls. Guards
# against a fleet that releases all of it before the reports show what was released.
def test_backlog_is_released_in_steps_of_the_load_reports(clock):
    service = MemoryService(clock, classes=(0,), size=20)
    service.fill(2.0)
    callers = [service.send(service.request(0, timeout_s=60.0)) for _ in range(2)]
    service.fill(1.0)
    clock.advance(SWEEP_INTERVAL_S)
    assert service.count("admitted")["acme"] == 1
    clock.advance(LOAD_REPORT_S - 2 * SWEEP_INTERVAL_S)
    assert service.count("admitted")["acme"] == 1
    clock.advance(3 * SWEEP_INTERVAL_S)
    assert service.count("admitted")["acme"] == 2
    assert service.admission.waiting == 0
    gevent.killall(callers)
    service.close()


# Guards against newcomers that take the room which urgent requests wait for.
@pytest.mark.parametrize("priority", [0, 2])
def test_newcomer_does_not_overtake_what_waits(clock, priority):
    service = MemoryService(clock, size=20)
    service.fill(2.0)
    for _ in range(2):
        service.send(service.request(0))
    service.fill(0.5)
    clock.advance(SWEEP_INTERVAL_S)
    assert service.admission.waiting == 1
    service.send(service.request(priority))
    assert service.admission.waiting == 2
    service.close()


# Guards against an order that ignores the rates of workspaces.
def test_workspaces_are_served_in_proportion_to_their_rates(clock):
    rates = {"a": 30.0, "b": 10.0}
    service = MemoryService(clock, classes=(0,), workspaces=rates)
    service.fill(2.0)
    for _ in range(6):
        for name in rates:
            service.send(service.request(0, name))
    service.fill(1.2)
    clock.advance(SWEEP_INTERVAL_S)
    assert service.count("admitted") == {"a": 6, "b": 2}
    service.close()


# Guards against requests that wait although urgent ones take all the room until it is
# too late for them.
def test_predicted_wait_counts_what_is_more_urgent(service):
    service.fill(2.0)
    urgent = [service.send(service.request(0)) for _ in range(62)]
    assert not urgent[0].ready()
    assert service.send(service.request(0, timeout_s=60.0)).ready()
    assert service.send(service.request(1)).value.reason == "no-room"


# Guards against a log that does not tell why and for how long a request waited.
def test_explain_tells_the_wait_and_its_cause(service, clock):
    service.fill(2.0)
    request = service.request(0)
    service.send(request)
    clock.advance(0.3)
    service.fill(1.0)
    clock.advance(SWEEP_INTERVAL_S)
    gevent.sleep(0)
    timeline = RequestTimeline(request.request_id)
    for what, which, why, fields in service.log.lines:
        timeline.add(LogLine(1.0, "vm-1", what, which, why, fields))
    (line,) = timeline.lines
    assert "admission: waited" in line and "ms=320" in line
    assert "priority=0" in line and "threshold=2.0" in line


def run_day(rates, seconds=20.0, repeats=()):
    """Return the served share of each workspace at the given requests a second.

    Those in `repeats` send a refused request again at once, for up to 10 times; only
    the first ones count as their requests.
    """
    clock, rng = ManualClock(), random.Random(1)
    equal = dict.fromkeys(rates, 10.0)
    service = MemoryService(clock, classes=(0,), workspaces=equal, max_load=1.0)
    first, served = dict.fromkeys(rates, 0), dict.fromkeys(rates, 0)

    def call(name):
        for _ in range(11 if name in repeats else 1):
            caller = service.send(service.request(0, name))
            caller.join()
            if caller.value is None:
                served[name] += 1
                return

    callers = []
    for _ in range(round(seconds * 100)):
        for name, per_s in rates.items():
            if rng.random() < per_s / 100.0:
                first[name] += 1
                callers.append(gevent.spawn(call, name))
        clock.advance(0.01)
    clock.advance(10.0)
    gevent.joinall(callers, timeout=5.0)
    assert service.admission.waiting == 0
    assert service.in_flight == 0
    service.close()
    return {name: served[name] / first[name] for name in rates}


# Load pattern: overload by one workspace. Guards against a burst that costs others.
def test_burst_of_one_workspace_costs_that_workspace():
    calm = run_day({"a": 5.0, "b": 5.0, "c": 5.0})
    burst = run_day({"a": 5.0, "b": 5.0, "c": 60.0})
    assert burst["a"] >= calm["a"] - MAX_LOSS
    assert burst["b"] >= calm["b"] - MAX_LOSS
    assert burst["c"] < 0.5


# Load pattern: retry storm. Guards against callers that gain by repeating at once.
def test_callers_that_repeat_at_once_gain_nothing():
    rates = {"a": 15.0, "b": 15.0}
    patient, storm = run_day(rates), run_day(rates, repeats=("b",))
    assert storm["a"] >= patient["a"] - MAX_LOSS
    assert storm["b"] <= patient["b"] + MAX_LOSS


ARRIVALS = st.lists(
    st.tuples(
        st.floats(0.0, 0.3),
        st.sampled_from(CLASSES),
        st.sampled_from(("a", "b", "c")),
        st.floats(0.05, 3.0),
        st.booleans(),
        st.integers(0, 3),
    ),
    max_size=40,
)


# Load pattern: any arrivals of any classes, some of whose callers are cancelled. Guards
# against inverted priorities, waits without a reason or an end, and leaked counts.
@pytest.mark.parametrize("size", [1, 20])
@given(ARRIVALS)
def test_order_work_conservation_bounded_waits_and_no_leaks(size, arrivals):
    clock = ManualClock()
    service = MemoryService(clock, workspaces={"a": 1.0, "b": 10.0}, size=size)
    held = 2 * SLOTS  # requests of others, some of which end at each step
    service.in_flight = held
    for gap_s, priority, name, timeout_s, cancelled, ended in arrivals:
        clock.advance(gap_s / 5)
        ended = min(ended, held)
        held -= ended
        service.in_flight -= ended
        caller = service.send(service.request(priority, name, timeout_s))
        if cancelled:
            gevent.spawn(caller.kill, block=False)
    service.in_flight -= held
    clock.advance(10.0)
    assert service.admission.waiting == 0
    assert service.in_flight == 0
    assert all(line.load() == 0.0 for line in service.admission._lines.values())
    check_events(service)
    service.close()


def check_events(service):
    """Check the order of events, each with the load just before it."""
    waiting = {}
    gone = ids(service, "interrupted")
    for now, what, request, load in service.events:
        if what == "arrived":
            waiting[request] = now
            continue
        since = waiting.pop(request)
        until = min(request.route.target_latency_s + since, request.deadline)
        # The sweep notices the end of a wait.
        assert now <= max(until - SERVICE_S, since) + SWEEP_INTERVAL_S + 1e-9
        if what == "admitted":
            more_urgent = [o for o in waiting if o.priority < request.priority]
            assert all(o.request_id in gone for o in more_urgent)
        else:
            assert load >= service.admission.options.busy_load


def ids(service, cause):
    """Return the ids of the requests that ended their wait for a cause."""
    return {
        which
        for what, which, _, fields in service.log.lines
        if what == "admission" and fields.get("cause") == cause
    }
