"""Tests of loops that are restarted when they fail."""

import gevent

from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.keep_running import RESTART_PAUSE_S, keep_running


def test_failing_loop_is_logged_and_restarted(clock):
    log, starts = RecordingDecisionLog(), []

    def loop():
        starts.append(clock.now())
        raise ValueError("no good")

    greenlet = gevent.spawn(keep_running, "sweep", loop, clock, log)
    gevent.sleep(0)
    clock.advance(RESTART_PAUSE_S * 2.5)
    greenlet.kill()
    assert len(starts) == 3
    assert log.lines[0] == ("loop", "sweep", "failed: ValueError: no good", {})
