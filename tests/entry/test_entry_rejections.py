"""Tests of targets that reject requests: their pauses, and the reports on them."""

from collections import Counter
from types import SimpleNamespace

import pytest
from entry_helper import route
from limit_helper import LimitFleet
from msgspec import structs

from lacewingpond.entry.admission.options import AdmissionOptions
from lacewingpond.entry.hedging.options import HedgingOptions
from lacewingpond.entry.hedging.policy import (
    REJECTION_MEMORY_S,
    HedgeRefusal,
    HedgingPolicy,
    SlowRequest,
)
from lacewingpond.entry.room.rejection_pause import (
    MAX_PAUSE_S,
    MIN_PAUSE_S,
    RejectionPause,
)
from lacewingpond.entry.targets.reporter import LOAD_REPORT_S


# Guards against pauses that never grow, never stop growing, or outlast a success.
def test_pause_doubles_while_the_target_is_full_and_ends_with_a_success():
    pause, now, lengths = RejectionPause(), 100.0, []
    for _ in range(6):
        pause.start(now, is_full=True)
        end = now
        while pause.is_active(end):
            end += 0.01
        lengths.append(round(end - now, 2))
        now = end
    assert lengths == [0.05, 0.1, 0.2, 0.4, 0.8, 0.8]
    pause.start(now, is_full=True)
    pause.end()
    assert not pause.is_active(now)
    pause.start(now, is_full=True)
    assert not pause.is_active(now + MIN_PAUSE_S)


# Load pattern: a burst of simultaneous requests at one full target. Guards against a
# pause that counts each of them as a further consecutive rejection.
def test_simultaneous_rejections_count_as_one():
    pause = RejectionPause()
    for _ in range(5):
        pause.start(100.0, is_full=True)
    assert not pause.is_active(100.0 + MIN_PAUSE_S)


@pytest.fixture
def fleet(clock):
    fleet = LimitFleet(clock, vms=6, targets=6)
    for daemon in fleet.daemons:
        daemon.context.reporter.uses_rejections = True
        daemon.context.reporter.start()
    clock.advance(0.01)
    yield fleet
    for daemon in fleet.daemons:
        daemon.context.reporter.stop()


def fill(daemon, target_id):
    """Make a target full of requests of a peer, as far as a VM knows."""
    state = daemon.table.get(target_id)
    state.update_peer_load("10.0.0.99:7000", state.spec.slots, daemon.clock.now())
    return state


# Load pattern: one target is full while the others are idle. Guards against requests
# that are sent to the target that has just rejected one.
def test_target_that_rejected_is_passed_over_during_its_pause(fleet):
    daemon = fleet.daemons[0]
    daemon.context.reporter.record_rejection(daemon.table.get("t1"))
    picks = {daemon.context.placer.pick("svc", (), True) for _ in range(200)}
    assert "t1" not in {state.spec.target_id for state in picks}
    fleet.clock.advance(MIN_PAUSE_S)
    picks = {daemon.context.placer.pick("svc", (), True) for _ in range(200)}
    assert "t1" in {state.spec.target_id for state in picks}


# Guards against rejections that only the VM knows whose request it was.
def test_peers_in_the_domain_pause_a_full_target_that_rejected(fleet, clock):
    here, peer, far = fleet.daemons[0], fleet.daemons[3], fleet.daemons[1]
    states = [fill(daemon, "t1") for daemon in (here, peer, far)]
    here.context.reporter.record_rejection(states[0])
    clock.advance(LOAD_REPORT_S)
    assert states[1].rejections.is_active(clock.now())
    assert not states[2].rejections.is_active(clock.now())


# Load pattern: targets reject at random. Guards against free slots that are left idle
# on all VMs after each rejection.
def test_peers_do_not_pause_a_target_with_free_slots(fleet, clock):
    here, peer = fleet.daemons[0], fleet.daemons[3]
    here.context.reporter.record_rejection(here.table.get("t1"))
    clock.advance(LOAD_REPORT_S)
    assert not peer.table.get("t1").rejections.is_active(clock.now())


# Load pattern: a service rejects requests, of which one VM sees few. Guards against
# hedges there that make full targets reject more.
def test_peers_do_not_hedge_for_a_second_after_a_rejection(fleet, clock):
    here, peer = fleet.daemons[0], fleet.daemons[3]
    policy = HedgingPolicy(HedgingOptions(max_extra=0.1))
    peer.context.reporter.on_peer_rejection = policy.record_rejection
    hedgeable = route(idempotent=True, max_attempts=3)
    slow = SlowRequest(hedgeable, "svc", 0, 1, time_left_s=2.0, usual_s=0.1)
    assert policy.refusal(slow, 0.0, clock.now()) is None
    here.context.reporter.record_rejection(here.table.get("t1"))
    clock.advance(LOAD_REPORT_S)
    assert policy.refusal(slow, 0.0, clock.now()) is HedgeRefusal.REJECTIONS
    clock.advance(REJECTION_MEMORY_S)
    assert policy.refusal(slow, 0.0, clock.now()) is None


# Guards against traffic to the few targets that are not paused, or against refusals,
# when rejections do not tell the targets apart.
def test_pauses_of_all_targets_are_ignored(fleet):
    daemon = fleet.daemons[0]
    for state in daemon.table.all():
        daemon.context.reporter.record_rejection(state)
    picks = Counter(
        daemon.context.placer.pick("svc", (), True).spec.target_id for _ in range(600)
    )
    assert len(picks) == 6
    assert max(picks.values()) < 3 * min(picks.values())


# Load pattern: all targets reject half of the requests at random, while slots are free.
# Guards against idle targets, against traffic that gathers at a few of them, and
# against requests that wait or are refused although a further try may serve them.
def test_random_rejections_leave_no_target_idle(fleet, clock):
    send = fleet.targets.send

    def at_random(vm, target, request):
        chance = {target.target_id} if fleet.rng.random() < 0.5 else set()
        fleet.targets.refusing = chance
        return send(vm, target, request)

    fleet.targets.send = at_random
    busiest = 0.0
    for _ in range(8):
        since = clock.now()
        fleet.run(1.0, per_s=120, idempotent=True)
        counts = [fleet.targets.arrived_at(f"t{n}", since) for n in range(6)]
        assert min(counts) > 0
        busiest = max(busiest, max(counts) * len(counts) / sum(counts))
    assert busiest < 2.0
    reasons = {o.err_value.reason for o in fleet.outcomes if o.is_err()}
    assert reasons <= {"target-busy"}
    for daemon in fleet.daemons:
        assert daemon.context.placer.load("svc") < AdmissionOptions().busy_load
        states = daemon.table.all()
        later = clock.now() + 2 * MIN_PAUSE_S
        assert not any(state.rejections.is_active(later) for state in states)


# Load pattern: overload in which targets reject requests of all classes. Guards against
# deliveries of less urgent requests that take the last half of the retry balance.
@pytest.mark.parametrize(("urgent", "attempts"), [(True, 2), (False, 1)])
def test_last_half_of_the_retry_balance_is_for_urgent_requests(fleet, urgent, attempts):
    daemon = fleet.daemons[0]
    admission = SimpleNamespace(
        is_most_urgent=lambda request: urgent, retry_after_s=lambda request: None
    )
    daemon.context = structs.replace(daemon.context, admission=admission)
    fleet.targets.refusing = {f"t{number}" for number in range(6)}
    daemon.retries.earn("svc")
    while daemon.retries.can_spend("svc", most_urgent=False):
        daemon.retries.spend("svc")
    assert daemon.deliver(1, idempotent=True).err_value.reason == "target-busy"
    assert len(fleet.targets.requests) == attempts


# Guards against a change of the code path while `[admission]` is off.
def test_nothing_is_paused_or_reported_when_off(fleet, clock):
    daemon = fleet.daemons[0]
    daemon.context.reporter.uses_rejections = False
    state = fill(daemon, "t1")
    daemon.context.reporter.record_rejection(state)
    assert not state.rejections.is_active(clock.now())
    clock.advance(MAX_PAUSE_S)
    assert not [
        m for _, m in daemon.vm.channel.sent if any(r.rejections for r in m.rows)
    ]
