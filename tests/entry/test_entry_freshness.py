"""Tests of the proof that the known state is the store's newest."""

import gevent
from entry_helper import MAX_AGE_S

from lacewingpond.entry.freshness import Freshness
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog


def test_proof_expires_while_the_vm_is_suspended(clock):
    freshness = Freshness(clock, RecordingDecisionLog(), MAX_AGE_S)
    freshness.record_proof(clock.boot(), "store")
    assert freshness.is_fresh
    clock.suspend(MAX_AGE_S + 0.1)
    assert not freshness.is_fresh


def test_older_proof_does_not_replace_a_newer_one(clock):
    freshness = Freshness(clock, RecordingDecisionLog(), MAX_AGE_S)
    freshness.record_proof(clock.boot(), "store")
    freshness.record_proof(clock.boot() - 3.0, "peer")
    assert freshness.age_s == 0.0


def test_gain_and_loss_are_logged_once(clock):
    log = RecordingDecisionLog()
    freshness = Freshness(clock, log, MAX_AGE_S)
    freshness.record_proof(clock.boot(), "store")
    freshness.record_proof(clock.boot(), "store")
    clock.advance(MAX_AGE_S + 0.1)
    assert [freshness.is_fresh for _ in range(3)] == [False] * 3
    assert [why for _, _, why, _ in log.lines] == ["gained", "lost"]


def test_wait_requests_a_proof_and_ends_when_it_arrives(clock):
    freshness = Freshness(clock, RecordingDecisionLog(), MAX_AGE_S)
    freshness.on_proof_needed(lambda: freshness.record_proof(clock.boot(), "peer"))
    assert freshness.await_proof(0.2)


def test_after_a_failed_wait_calls_return_at_once_until_a_proof(clock):
    freshness = Freshness(clock, RecordingDecisionLog(), MAX_AGE_S)
    requested = []
    freshness.on_proof_needed(lambda: requested.append(clock.now()))
    waiting = gevent.spawn(freshness.await_proof, 0.2)
    clock.advance(0.3)
    assert waiting.get() is False
    # Later requests are refused at once instead of after a wait of their own.
    assert freshness.await_proof(0.2) is False
    assert len(requested) == 1
    freshness.record_proof(clock.boot(), "peer")
    assert freshness.await_proof(0.2)
