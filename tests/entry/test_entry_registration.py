"""Tests of the daemon's own member entry in the store."""

import random

import gevent
import pytest
from entry_helper import MAX_AGE_S, UNAVAILABLE
from result import Err

from lacewingpond.entry.member import Member, decode_member
from lacewingpond.entry.registration import LEASE_TTL_S, Registration
from lacewingpond.store.memory import MemoryStore
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

KEY = "members/vm-1"
MEMBER = Member("10.0.0.1:7000", "zone-a")


class FaultyWrites:
    """Fails a number of writes, before (`refuse`) or after (`lose`) their effect."""

    def __init__(self, store):
        self.store = store
        self.refuse = 0
        self.lose = 0
        self.calls = 0

    def __getattr__(self, name):
        return getattr(self.store, name)

    def put(self, key, value, lease):
        self.calls += 1
        if self.refuse:
            self.refuse -= 1
            return Err(UNAVAILABLE)
        result = self.store.put(key, value, lease)
        if self.lose:
            self.lose -= 1
            return Err(UNAVAILABLE)
        return result


@pytest.fixture
def store(clock):
    return FaultyWrites(MemoryStore(clock))


@pytest.fixture
def registration(clock, store):
    return Registration(
        store, KEY, MEMBER, clock, random.Random(1), RecordingDecisionLog()
    )


@pytest.fixture
def run(registration):
    def start():
        registration.start()
        gevent.sleep(0)

    start.stop = registration.stop
    yield start
    start.stop()


def entry(store):
    found = store.get(KEY).ok_value
    return found and decode_member(found.value).ok_value


def test_lease_is_renewed_while_the_daemon_runs(run, store, clock):
    run()
    for _ in range(10):
        clock.advance(LEASE_TTL_S / 2)
        gevent.sleep(0)
    assert entry(store) == MEMBER
    assert store.calls == 1


def test_entry_of_a_stopped_daemon_expires(run, store, clock):
    run()
    run.stop()
    clock.advance(LEASE_TTL_S + 1.0)
    assert entry(store) is None


def test_failed_write_is_retried_with_backoff(run, store, clock):
    store.refuse = 3
    run()
    clock.advance(30.0)
    gevent.sleep(0)
    assert entry(store) == MEMBER
    assert store.calls == 4


def test_entry_outlives_a_lost_response_to_its_first_write(run, store, clock):
    store.lose = 1
    run()
    clock.advance(5.0)
    gevent.sleep(0)
    clock.advance(LEASE_TTL_S * 2)
    gevent.sleep(0)
    assert entry(store) == MEMBER


def test_entry_of_a_lapsed_lease_is_written_again(run, store, clock):
    run()
    store.store._leases.clear()
    store.store.delete_if(KEY, store.get(KEY).ok_value.revision)
    clock.advance(LEASE_TTL_S)
    gevent.sleep(0)
    assert entry(store) == MEMBER


def test_vanished_entry_is_written_again_at_once(run, registration, store, clock):
    run()
    registration.record_listed(True)
    store.store._leases.clear()
    store.store.delete_if(KEY, store.get(KEY).ok_value.revision)
    registration.record_listed(False)
    clock.advance(1.0)
    gevent.sleep(0)
    assert entry(store) == MEMBER


def test_entry_that_is_not_listed_yet_is_written_once(run, registration, store, clock):
    run()
    registration.record_listed(False)
    clock.advance(1.0)
    gevent.sleep(0)
    assert store.calls == 1


def test_planned_stop_removes_the_entry_at_once(run, registration, store, clock):
    run()
    registration.leave()
    clock.advance(LEASE_TTL_S)
    gevent.sleep(0)
    assert entry(store) is None
    assert store.calls == 1


def test_daemon_that_left_does_not_register_again(run, registration, store, clock):
    run()
    registration.leave()
    registration.record_listed(True)
    registration.record_listed(False)
    clock.advance(LEASE_TTL_S)
    gevent.sleep(0)
    assert entry(store) is None


def test_quota_shares_of_a_crashed_daemon_are_free_within_30_s():
    # 150 VMs fail on an ordinary day.
    assert LEASE_TTL_S <= 30.0


def test_lease_outlasts_the_freshness_proof():
    # A quota share that is taken over while its former holder still admits requests
    # would be used twice.
    assert LEASE_TTL_S > 2 * MAX_AGE_S
