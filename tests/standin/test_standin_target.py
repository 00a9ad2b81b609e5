"""Tests of the stand-in target's faults."""

import socket

import gevent
import msgspec
import pytest
import urllib3

from lacewingpond.standin.options import StandinTargetOptions
from lacewingpond.standin.target import StandinTarget
from lacewingpond.util.clock import RuntimeClock

HTTP_ERROR = urllib3.exceptions.HTTPError


@pytest.fixture
def start():
    started = []

    def start(**options):
        options = StandinTargetOptions(**{"work_s": 0.0, **options})
        target = StandinTarget.from_options(options, RuntimeClock())
        target.start()
        started.append(target)
        return target

    yield start
    for target in started:
        target.stop()


def pool_for(target):
    host, port = target.address.split(":")
    return urllib3.HTTPConnectionPool(host, int(port), retries=False, timeout=0.3)


def test_runs_are_counted_by_idempotency_key_and_request_id(start):
    target = start(name="t1")
    headers = {"Idempotency-Key": "k1", "X-Request-Id": "r1", "Authorization": "x"}
    response = pool_for(target).request("POST", "/pay", body=b"42", headers=headers)
    assert (response.status, response.data) == (200, b"42")
    assert response.headers["Lacewingpond-Target"] == "t1"
    assert float(response.headers["Lacewingpond-Load"]) > 0
    stats = target.stats.report()
    assert stats.runs_by_idempotency_key == {"k1": 1}
    assert stats.runs_by_request_id == {"r1": 1}
    assert stats.keys_seen == 1


def test_gray_target_fails_requests_and_passes_health_checks(start):
    target = start(gray_share=1.0)
    pool = pool_for(target)
    assert pool.request("GET", "/x").status == 500
    assert pool.request("GET", "/_probe").status == 200
    target.configure(msgspec.structs.replace(target.options, probe_says="truth"))
    assert pool.request("GET", "/_probe").status == 503


def test_full_target_sheds_with_the_not_run_header(start):
    target = start(slots=1, backlog=0, work_s=0.2)
    assert pool_for(target).request("GET", "/").headers["X-Not-Run"] == "1"
    target.configure(msgspec.structs.replace(target.options, backlog=1))
    pool = pool_for(target)
    greenlets = [gevent.spawn(pool.request, "GET", "/?work=0.1") for _ in range(4)]
    statuses = sorted(response.get().status for response in greenlets)
    assert statuses[0] == 200
    assert 503 in statuses


def test_draining_target_runs_nothing(start):
    target = start(draining=True)
    response = pool_for(target).request("POST", "/")
    assert (response.status, target.stats.run) == (503, 0)


def test_request_with_crash_header_crashes_target_which_restarts(start):
    target = start(restart_s=0.05)
    pool = pool_for(target)
    with pytest.raises(HTTP_ERROR):
        pool.request("GET", "/", headers={"X-Crash": "1"})
    gevent.sleep(0.01)
    with pytest.raises(HTTP_ERROR):
        pool.request("GET", "/")
    gevent.sleep(0.2)
    assert pool.request("GET", "/").status == 200
    assert (target.stats.crashes, target.stats.run) == (1, 2)


def test_silenced_connections_get_no_response_and_new_ones_work(start):
    target = start()
    old, new = pool_for(target), pool_for(target)
    assert old.request("GET", "/").status == 200
    target.silence_connections()
    with pytest.raises(HTTP_ERROR):
        old.request("GET", "/")
    assert new.request("GET", "/").status == 200


def test_cancelled_request_ends_with_status_499(start):
    target = start(work_s=5.0)
    pool = urllib3.HTTPConnectionPool("127.0.0.1", target.port, retries=False)
    running = gevent.spawn(pool.request, "GET", "/", headers={"X-Request-Id": "r"})
    gevent.sleep(0.05)
    assert pool.request("POST", "/_cancel/r").status == 200
    assert running.get(timeout=2).status == 499


def test_options_change_over_the_control_path(start):
    target = start()
    pool = pool_for(target)
    response = pool.request("POST", "/_control", body=b'{"load_says": 0.9}')
    assert response.status == 200
    assert pool.request("GET", "/_load").json() == {"load": 0.9}
    assert pool.request("POST", "/_control", body=b'{"slots": "x"}').status == 400


def test_query_sets_number_of_events_and_size_of_response(start):
    target = start()
    pool = pool_for(target)
    assert pool.request("GET", "/?events=3").data.count(b"data:") == 3
    assert len(pool.request("GET", "/?size=200000").data) == 200_000


def test_flapping_and_cold_start_depend_on_uptime(clock):
    options = StandinTargetOptions(
        gray_share=1.0, flap_period_s=10.0, load_says=0.5, cold_s=10.0, cold_factor=5.0
    )
    target = StandinTarget.from_options(options, clock)
    states = []
    for _ in range(4):
        states.append((target.is_gray(), target.slowdown_factor()))
        clock.advance(5.0)
    assert states == [(True, 5.0), (False, 3.0), (True, 1.0), (False, 1.0)]
    assert target.load() == 0.5


def test_connections_set_tcp_nodelay(start):
    target = start()
    pool = pool_for(target)
    assert pool.request("POST", "/", body=b"x").status == 200
    (connection,) = target._server.connections
    sock = connection._socket
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
