"""Tests of starting the metrics endpoint."""

import sys

from msgspec import structs
from path_helper import CLOCK
from test_entry_daemon import SETTINGS

from lacewingpond.entry.metrics import serve_metrics
from lacewingpond.entry.settings import MetricsSettings, check_entry_settings
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog


def settings(address):
    cfg = check_entry_settings(SETTINGS, "settings").unwrap()
    return structs.replace(cfg, metrics=MetricsSettings(address))


def test_without_an_address_the_log_is_returned_unchanged():
    log = RecordingDecisionLog()
    assert serve_metrics(settings(""), log, CLOCK) is log


def test_decisions_are_counted_and_forwarded_to_the_log():
    log = RecordingDecisionLog()
    counted = serve_metrics(settings("127.0.0.1:0"), log, CLOCK)
    counted.decision("start", "vm-1", "serving")
    assert [line[0] for line in log.lines] == ["start"]
    assert 'what="start"' in counted.text()


def test_missing_library_is_logged_and_metrics_stay_off(monkeypatch):
    monkeypatch.setitem(sys.modules, "lacewingpond.telemetry.decision_metrics", None)
    log = RecordingDecisionLog()
    assert serve_metrics(settings("127.0.0.1:0"), log, CLOCK) is log
    assert log.lines[0][:2] == ("metrics", "127.0.0.1:0")
