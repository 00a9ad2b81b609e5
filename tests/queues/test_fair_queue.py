"""Tests of the fair queue."""

import gevent
import pytest

from lacewingpond.config.model import Config, Service
from lacewingpond.health.outcome import Outcome
from lacewingpond.queues.fair_order import FairOrder
from lacewingpond.queues.fair_queue import FairQueue
from lacewingpond.queues.options import QueueOptions
from lacewingpond.queues.refusal import QueueReason
from lacewingpond.queues.ticket import Ticket
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog

ONE_AT_A_TIME = QueueOptions(first_limit=1, min_limit=1, max_limit=1, max_waiting=8)


@pytest.fixture
def queue(clock):
    queue = FairQueue.from_options(
        ONE_AT_A_TIME, clock, NullDecisionLog(), CountingMetrics()
    )
    queue.configure(Config(services=(Service("s"),)))
    return queue


def set_mean_latency(queue, clock, latency_s):
    slot = queue.acquire("s", "w", clock.now() + 60.0).unwrap()
    slot.release(Outcome.OK, latency_s)


def test_slots_alternate_between_waiting_workspaces(queue, clock):
    order = []

    def request(workspace):
        slot = queue.acquire("s", workspace, clock.now() + 60.0).unwrap()
        order.append(workspace)
        gevent.sleep(0)
        slot.release(Outcome.OK, 0.001)

    names = ["first", "big", "big", "big", "small", "small"]
    gevent.joinall([gevent.spawn(request, name) for name in names])
    assert order == ["first", "big", "small", "big", "small", "big"]


def test_free_slot_is_granted_despite_high_latency(queue, clock):
    set_mean_latency(queue, clock, 1.0)
    assert queue.acquire("s", "w", clock.now() + 0.5).is_ok()


def test_request_that_cannot_finish_in_time_is_refused_at_once(queue, clock):
    set_mean_latency(queue, clock, 1.0)
    queue.acquire("s", "w", clock.now() + 60.0).unwrap()
    refusal = queue.acquire("s", "w", clock.now() + 0.5).unwrap_err()
    assert refusal.reason is QueueReason.DEADLINE_OUT_OF_REACH
    assert refusal.retry_after_s > 0.0


def test_waiting_request_is_refused_when_it_can_no_longer_finish(queue, clock):
    set_mean_latency(queue, clock, 0.5)
    held = queue.acquire("s", "w", clock.now() + 60.0).unwrap()
    waiter = gevent.spawn(queue.acquire, "s", "w", clock.now() + 4.0)
    clock.advance(3.4)
    assert not waiter.ready()
    clock.advance(0.2)
    assert waiter.value.unwrap_err().reason is QueueReason.DEADLINE_PASSED
    held.release(Outcome.OK, 0.5)
    assert queue.waiting("s") == 0


def test_full_queue_evicts_from_the_workspace_with_most_waiting(queue, clock):
    held = queue.acquire("s", "big", clock.now() + 60.0).unwrap()
    big = [
        gevent.spawn(queue.acquire, "s", "big", clock.now() + 60.0) for _ in range(8)
    ]
    gevent.sleep(0)
    small = gevent.spawn(queue.acquire, "s", "small", clock.now() + 60.0)
    gevent.sleep(0)
    gevent.sleep(0)
    assert not small.ready()
    assert big[-1].value.unwrap_err().reason is QueueReason.QUEUE_FULL
    held.release(Outcome.OK, 0.01)
    gevent.killall([*big, small])


def test_killed_waiter_is_removed_from_the_queue(queue, clock):
    held = queue.acquire("s", "w", clock.now() + 60.0).unwrap()
    waiter = gevent.spawn(queue.acquire, "s", "w", clock.now() + 60.0)
    gevent.sleep(0)
    waiter.kill()
    assert queue.waiting("s") == 0
    held.release(Outcome.OK, 0.01)
    assert queue.acquire("s", "w", clock.now() + 60.0).is_ok()


def test_second_release_has_no_effect(queue, clock):
    slot = queue.acquire("s", "w", clock.now() + 60.0).unwrap()
    slot.release(Outcome.OK, 0.01)
    slot.release(Outcome.OK, 0.01)
    assert queue.acquire("s", "w", clock.now() + 60.0).is_ok()
    waiter = gevent.spawn(queue.acquire, "s", "w", clock.now() + 60.0)
    gevent.sleep(0)
    assert not waiter.ready()
    waiter.kill()


def test_waiting_requests_of_a_removed_service_are_refused(queue, clock):
    queue.acquire("s", "w", clock.now() + 60.0).unwrap()
    waiter = gevent.spawn(queue.acquire, "s", "w", clock.now() + 60.0)
    gevent.sleep(0)
    queue.configure(Config())
    gevent.sleep(0)
    assert waiter.value.unwrap_err().reason is QueueReason.UNKNOWN_SERVICE


def test_workspaces_are_served_in_proportion_to_weight():
    order = FairOrder({"big": 3.0, "small": 1.0}.__getitem__)
    for name in ["big"] * 6 + ["small"] * 6:
        order.push(Ticket(name, 10.0, 0.0))
    first = [order.pop().workspace for _ in range(8)]
    assert first.count("big") == 6


def test_earliest_deadline_is_served_first_within_a_workspace():
    order = FairOrder(lambda workspace: 1.0)
    late, soon = Ticket("w", 9.0, 0.0), Ticket("w", 3.0, 0.0)
    order.push(late)
    order.push(soon)
    order.remove(Ticket("w", 3.0, 0.0))
    assert [order.pop(), order.pop()] == [soon, late]
    assert len(order) == 0


# Load pattern: overload in which nothing is served and what waits expires. Guards
# against entries of requests that have left and are kept until one is served.
def test_order_keeps_nothing_of_requests_that_left():
    order = FairOrder(lambda workspace: 1.0)
    order.push(Ticket("stays", 1.0, 0.0))
    for _ in range(1000):
        ticket = Ticket("leaves", 1.0, 0.0)
        order.push(ticket)
        order.remove(ticket)
    assert len(order._heap) < 100
    late = Ticket("late", 1.0, 0.0)
    order.push(late)
    assert [order.pop().workspace for _ in range(2)] == ["stays", "late"]
    assert len(order) == 0
