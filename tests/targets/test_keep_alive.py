"""Tests of the idle timeout that targets state in Keep-Alive."""

import random

import pytest
from path_helper import plain_request, raw_target
from test_target_client import body_of, responding

from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.keep_alive import idle_timeout_s
from lacewingpond.targets.options import TargetOptions
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import ManualClock


def response(keep_alive):
    head = f"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: {keep_alive}\r\n\r\n"
    return head.encode() + b"ok"


# Guards against a request on a connection that its target has said it is closing.
@pytest.mark.parametrize(("idle_s", "reused"), [(1.0, True), (1.9, False)])
def test_connection_is_not_reused_near_the_idle_timeout_of_its_target(idle_s, reused):
    clock = ManualClock()
    options, log = TargetOptions(max_idle_s=8.0), RecordingDecisionLog()
    client = TargetClient.from_options(options, clock, random.Random(1), log)
    with raw_target(responding(*[response("timeout=2, max=9")] * 2)) as target:
        for expected in (False, reused):
            result = client.send(
                target, plain_request(idempotent=True), clock.now() + 5.0
            )
            assert result.ok().reused == expected
            body_of(result)
            clock.advance(idle_s)


@pytest.mark.parametrize(
    ("value", "seconds"),
    [("timeout=5", 5.0), ("max=3, Timeout=7", 7.0), (" timeout = 2 ", 2.0)],
)
def test_timeout_is_read(value, seconds):
    assert idle_timeout_s(value) == seconds


@pytest.mark.parametrize(
    "value", [None, "", "timeout", "timeout=x", "timeout=-1", "max=3", "timeout=1.5"]
)
def test_other_values_state_no_timeout(value):
    assert idle_timeout_s(value) == float("inf")
