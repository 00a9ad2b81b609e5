"""Tests of the metrics that are derived from decisions."""

import pytest
from path_helper import caller_server, exchange

from lacewingpond.telemetry.decision_metrics import MAX_SERIES, DecisionMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog


@pytest.fixture
def log():
    return RecordingDecisionLog()


@pytest.fixture
def metrics(log, clock):
    return DecisionMetrics(log, "/metrics", clock)


def test_decisions_are_counted_and_forwarded(metrics, log):
    for _ in range(3):
        metrics.decision("refuse", "id-1", "over-rate", status=429)
    metrics.decision("eject", "t1", "here: broken")
    lines = metrics.text().splitlines()
    assert 'lacewingpond_decisions_total{what="refuse",why="over-rate"} 3' in lines
    assert 'lacewingpond_decisions_total{what="eject",why=""} 1' in lines
    assert len(log.lines) == 4


def test_limited_targets_are_counted(metrics):
    for target_id in ("t1", "t2", "t3"):
        metrics.decision("limit", target_id, "named", rate=1.0)
    metrics.decision("limit", "t1", "ended", rate=None)
    metrics.decision("target", "t2", "removed")
    assert "lacewingpond_limited_targets 1" in metrics.text().splitlines()


def test_targets_that_leave_or_are_paused_are_counted(metrics, clock):
    for target_id in ("t1", "t2"):
        metrics.decision("leaving", target_id, "here")
    metrics.decision("target", "t1", "removed")
    metrics.decision("pause", "t3", "asked for", pause_s=2.0)
    metrics.decision("pause", "t4", "asked for", pause_s=5.0)
    clock.advance(3.0)
    lines = metrics.text().splitlines()
    assert "lacewingpond_leaving_targets 1" in lines
    assert "lacewingpond_paused_targets 1" in lines


def test_versions_of_the_fleet_are_told(metrics):
    metrics.decision("versions", "vm-1", "spoken", **{"2": 3, "3": 37})
    metrics.decision("versions", "vm-1", "spoken", **{"3": 40})
    lines = metrics.text().splitlines()
    assert 'lacewingpond_fleet_versions{version="3"} 40' in lines
    assert not any('version="2"' in line for line in lines)


def test_era_of_the_store_is_told(metrics):
    assert "era" not in metrics.text()
    metrics.decision("era", "7", "store", before=6, revision=3, revision_before=9)
    assert "lacewingpond_store_era 7" in metrics.text().splitlines()


# Operators could not see how many requests were hedged, nor why others were not.
def test_hedges_are_counted_by_reason_and_by_refusal(metrics):
    metrics.decision("hedge", "id-1", "started", target="t1")
    metrics.decision("hedging", "vm-1", "counts", requests=20, refused_load=3)
    lines = metrics.text().splitlines()
    assert 'lacewingpond_decisions_total{what="hedge",why="started"} 1' in lines
    assert 'lacewingpond_hedging_total{count="refused_load"} 3' in lines


def test_attempt_latencies_are_in_milliseconds(metrics):
    for latency_ms in range(1, 101):
        metrics.decision("attempt", "id-1", "200", ms=latency_ms)
    text = metrics.text()
    assert 'lacewingpond_attempt_milliseconds{percentile="50"} 50\n' in text
    assert "lacewingpond_attempt_milliseconds_count 100\n" in text


def test_number_of_series_is_bounded(metrics):
    for number in range(MAX_SERIES * 2):
        metrics.decision("refuse", "id-1", f"reason {number}")
    assert len(metrics.text().splitlines()) < MAX_SERIES * 2
    assert 'why="other"' in metrics.text()


def test_metrics_are_served_on_their_path_only(metrics):
    metrics.decision("start", "vm-1", "serving")
    with caller_server(metrics.handle) as server:
        responses = [
            exchange(
                server.port,
                f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode(),
            )
            for path in ("/metrics", "/other")
        ]
    assert responses[0].startswith(b"HTTP/1.1 200") and b'what="start"' in responses[0]
    assert responses[1].startswith(b"HTTP/1.1 404")
