"""Tests of the settings and of reloading their file."""

import subprocess
import sys

import gevent
import pytest

from lacewingpond.entry.settings import check_entry_settings, load_entry_settings
from lacewingpond.entry.settings_file import SettingsFile, file_state
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

TEXT = """
[vm]
id = "front-a-1"
failure_domain = "zone-a"
region = "region-1"
ip = "10.1.0.30"

[listen]
callers = "10.1.0.30:8782"
readiness = "10.1.0.30:8789"
peer_ports = [7340, 7355]

[store]
address = "10.200.1.7:8784"

[bounds]
revoke = "5000ms"
"""


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(TEXT)
    return path


def test_settings_are_read(path):
    cfg = load_entry_settings(path).unwrap()
    assert cfg.listen.peer_ports == (7340, 7355)
    assert cfg.bounds.seconds("revoke") == 5.0


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ('"5000ms"', '"5 s"', "bounds.revoke"),
        ('"10.200.1.7:8784"', '"store:8784"', "store.address"),
        ("[7340, 7355]", "[7340]", "listen.peer_ports"),
        ('region = "region-1"', "", "vm.region"),
        ("[bounds]", "[bounds]\nnovelty = 1", "bounds.novelty"),
        ("[bounds]", "[bounds]\nwarmup_overage = -1", "bounds.warmup_overage"),
        ("[bounds]", "[bounds]\nwarmup_slack = inf", "bounds.warmup_slack"),
        ("[bounds]", "[clients]\nmax_pipelined = 0\n[bounds]", "clients.max_pipelined"),
        ("[bounds]", "[admission]\nbusy_load = 0.0\n[bounds]", "admission.busy_load"),
        ("[bounds]", "[admission]\nmax_load = 0.5\n[bounds]", "admission.max_load"),
        ("[bounds]", "[admission]\nmax_load = nan\n[bounds]", "admission.max_load"),
        ("[bounds]", "[admission]\nmax_waiting = 0\n[bounds]", "admission.max_waiting"),
        ("[bounds]", "[targets]\nmax_pause = '1 h'\n[bounds]", "targets.max_pause"),
        ("[bounds]", "[balance]\nspill_from = 0.0\n[bounds]", "balance.spill_from"),
        ("[bounds]", "[balance]\nspill_from = 2.5\n[bounds]", "balance.spill_from"),
        ("[bounds]", "[balance]\nspill_from = nan\n[bounds]", "balance.spill_from"),
        ("[bounds]", "[balance]\nfar_share = 0\n[bounds]", "balance.far_share"),
        ("[bounds]", "[balance]\nfar_share = 0.6\n[bounds]", "balance.far_share"),
        ("[bounds]", "[balance]\nenabled = 'yes'\n[bounds]", "balance.enabled"),
    ],
)
def test_finding_names_file_and_key(path, old, new, place):
    path.write_text(TEXT.replace(old, new))
    findings = load_entry_settings(path).unwrap_err()
    assert [f.place for f in findings] == [f"{path}.{place}"]


def test_all_findings_are_returned_together():
    findings = check_entry_settings({"vm": {}, "store": 5}, "s").unwrap_err()
    assert len(findings) >= 5


def follow(path, clock):
    applied, log = [], RecordingDecisionLog()
    settings_file = SettingsFile(path, file_state(path), applied.append, clock, log)
    greenlet = gevent.spawn(settings_file.run)
    gevent.sleep(0)
    return settings_file, applied, log, greenlet


def test_changed_file_is_applied_without_a_signal(path, clock):
    _, applied, _, greenlet = follow(path, clock)
    path.write_text(TEXT.replace("5000ms", "7500ms"))
    clock.advance(1.1)
    assert [cfg.bounds.revoke for cfg in applied] == ["7500ms"]
    clock.advance(5.0)
    assert len(applied) == 1
    greenlet.kill()


# A change of the file while the daemon starts, after its first read, must not be lost.
def test_file_that_changed_since_it_was_read_is_applied(path, clock):
    state = file_state(path)
    path.write_text(TEXT.replace("5000ms", "7500ms"))
    applied = []
    log = RecordingDecisionLog()
    settings_file = SettingsFile(path, state, applied.append, clock, log)
    greenlet = gevent.spawn(settings_file.run)
    gevent.sleep(0)
    clock.advance(1.1)
    assert [cfg.bounds.revoke for cfg in applied] == ["7500ms"]
    greenlet.kill()


# SIGHUP ends a process that does not handle it, also while its modules are imported.
def test_daemon_that_starts_survives_a_reload_signal():
    code = (
        "import os, signal, lacewingpond.entry.__main__; "
        "os.kill(os.getpid(), signal.SIGHUP)"
    )
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0


def test_reload_request_applies_the_unchanged_file(path, clock):
    settings_file, applied, _, greenlet = follow(path, clock)
    settings_file.request_reload()
    clock.advance(0.1)
    assert len(applied) == 1
    greenlet.kill()


def test_invalid_or_missing_file_leaves_the_last_settings_in_force(path, clock):
    _, applied, log, greenlet = follow(path, clock)
    path.write_text("[vm")
    clock.advance(1.1)
    path.unlink()
    clock.advance(1.1)
    assert applied == []
    assert any(why == "kept the last settings" for _, _, why, _ in log.lines)
    greenlet.kill()
