"""Tests of the proof that keys may be trusted."""

from entry_helper import MAX_AGE_S

from lacewingpond.entry.freshness import Freshness
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog


def test_proof_ends_on_a_suspended_vm(clock):
    freshness = Freshness(clock, RecordingDecisionLog(), MAX_AGE_S)
    freshness.prove(clock.boot(), "store")
    assert freshness.is_fresh
    clock.suspend(MAX_AGE_S + 0.1)
    assert not freshness.is_fresh


def test_older_proof_does_not_replace_a_newer_one(clock):
    freshness = Freshness(clock, RecordingDecisionLog(), MAX_AGE_S)
    freshness.prove(clock.boot(), "store")
    freshness.prove(clock.boot() - 3.0, "peer")
    assert freshness.age_s == 0.0


def test_gain_and_loss_are_logged_once(clock):
    log = RecordingDecisionLog()
    freshness = Freshness(clock, log, MAX_AGE_S)
    freshness.prove(clock.boot(), "store")
    freshness.prove(clock.boot(), "store")
    clock.advance(MAX_AGE_S + 0.1)
    assert [freshness.is_fresh for _ in range(3)] == [False] * 3
    assert [why for _, _, why, _ in log.lines] == ["gained", "lost"]
