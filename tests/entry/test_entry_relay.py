"""Tests of VMs that reach no target: their callers are served through other VMs."""

import random
import socket
import time
from collections import Counter
from types import SimpleNamespace

import gevent
import msgspec
import pytest
from entry_helper import config, entry_target, route, workspace
from fleet_helper import Recorder, lose, running_fleet, statuses
from gevent.event import Event
from stack_helper import not_run, signed

from lacewingpond.entry.model.caller_limits import CallerLimits
from lacewingpond.entry.relay.reach import PROBE_INTERVAL_S, Reach
from lacewingpond.entry.relay.sender import _retry_after_s
from lacewingpond.entry.requests.quarantine import EntryQuarantine
from lacewingpond.entry.targets.health import HealthStatus
from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

CUTS = ["refused", "hang"]
RETURN_S = PROBE_INTERVAL_S * 8  # some probes in a row


def cfg_of(**fields):
    return config(routes=(route(**fields),))


# Guards against a VM refusing requests for want of a path which its neighbours have.
@pytest.mark.parametrize("how", CUTS)
def test_vm_without_a_path_to_any_target_serves_its_callers(how):
    with running_fleet(signed) as vms:
        vms[0].cut = how
        served = statuses(vms[:1], 20).count(200)
        elsewhere = statuses(vms[1:], 21, first=100).count(200)
    assert elsewhere == 21
    assert served >= 20 * 2 / 3


# Guards against requests with little time being lost while a VM notices its cut. What
# they may spend is counted in connect time-outs, whatever the processor takes beside.
@pytest.mark.parametrize("idempotent", [False, True])
def test_request_is_relayed_after_one_connection_that_hangs(idempotent):
    with running_fleet(signed, targets=12, cfg=cfg_of(idempotent=idempotent)) as vms:
        vms[0].cut = "hang"
        calls = [gevent.spawn(vms[0].call, f"id-{n}") for n in range(10)]
        served = [call.get(timeout=10.0)[0] for call in calls]
        hung = Counter(which for _, which, _, _ in vms[0].lines("unreached"))
    assert served == [200] * 10
    assert set(hung.values()) == {1}


# Guards against the loss of all links of a domain being more than the others can carry.
@pytest.mark.parametrize("how", CUTS)
def test_vms_of_a_failure_domain_are_served_through_the_others(how):
    domains = ("zone-a", "zone-b")
    with running_fleet(signed, size=6, domains=domains) as vms:
        lost = [vm for vm in vms if vm.daemon._fleet.failure_domain == "zone-a"]
        for vm in lost:
            vm.cut = how
        served = statuses(lost, 30)
        via = Counter(
            f["via"] for vm in lost for *_, why, f in vm.lines("relay") if why == "200"
        )
    assert served.count(200) >= 30 * 2 / 3
    carriers = {vm.name for vm in vms} - {vm.name for vm in lost}
    assert {vm_id for vm_id, n in via.items() if n > 3} == carriers


def test_relayed_request_reaches_its_target_unchanged_and_with_less_time():
    seen = []

    def respond(req):
        seen.append((req, b"".join(req.body)))
        return signed(req, 201, b"whole", X_Own="1")

    with running_fleet(respond, size=2) as vms:
        lose(vms[0])
        status, headers, body = vms[0].call("id-7", body=b"data")
    assert (status, body, headers["x-own"]) == (201, b"whole", "1")
    assert (headers["x-id"], headers["x-signature"]) == ("id-7", "s")
    assert "lacewingpond-relay" not in headers
    (req, data), names = seen[0], {name.lower() for name, _ in seen[0][0].headers}
    assert (req.method, req.path, data) == ("POST", "/a/x", b"data")
    assert req.headers.get("X-Workspace") == "acme"
    assert 0 < int(req.headers.get("X-Deadline-Ms")) <= 5000
    assert not names & {"authorization", "lacewingpond-relay-attempts"}


# Guards against a request that goes round between VMs, and against late refusals.
@pytest.mark.parametrize("how", CUTS)
def test_request_is_refused_at_once_when_no_vm_reaches_a_target(how):
    target = Recorder()
    with running_fleet(target, size=4) as vms:
        for vm in vms:
            lose(vm, how)
        started = time.monotonic()
        status, headers, body = vms[0].call("id-1")
        took_s = time.monotonic() - started
        relayed = [line for vm in vms[1:] for line in vm.lines("route")]
    assert status == 503
    assert b'"run":"not-run"' in body
    assert float(headers["retry-after"]) > 0.0
    assert took_s < 0.8
    assert target.ids == []
    assert relayed == []


# Guards against a VM that does not know yet that it is cut off taking relayed requests.
def test_peer_that_reaches_no_target_either_is_passed_over():
    target = Recorder()
    with running_fleet(target, size=3) as vms:
        vms[1].cut = "refused"
        vms[1].daemon._client.close()
        lose(vms[0])
        assert statuses(vms[:1], 12) == [200] * 12
    assert len(target.ids) == len(set(target.ids)) == 12


# Guards against a request that may not be repeated running twice across the hop.
def test_request_whose_peer_breaks_off_is_not_sent_again():
    target = Recorder()
    with running_fleet(target, size=4) as vms:
        lose(vms[0])
        for vm in vms[1:]:
            server = vm.daemon._relay_server
            handler = server.handler

            def break_off(req, handler=handler):
                handler(req)
                return Response(200, Headers(), cut_body())

            server.handler = break_off
        status, _, _ = vms[0].call("id-1")
    assert status == 502
    assert target.ids == ["id-1"]


def cut_body():
    yield b"half"
    raise ConnectionError("the VM is killed")


# Guards against attempts on two VMs adding up to more than the route allows.
def test_attempts_across_the_hop_count_towards_those_of_the_route():
    attempts = []

    def respond(req):
        attempts.append(req.headers.get("X-Id"))
        return signed(req, 500, b"")

    cfg = cfg_of(idempotent=True, max_attempts=2)
    with running_fleet(respond, size=3, cfg=cfg) as vms:
        lose(vms[0])
        statuses(vms[:1], 6)
    assert max(Counter(attempts).values()) <= 2


# Guards against a quota that is charged on both VMs.
def test_quota_is_charged_once_across_the_hop():
    cfg = config(workspaces=(workspace(50.0, 50.0),))
    with running_fleet(signed, size=2, cfg=cfg) as vms:
        lose(vms[0])
        charged = []
        for vm in vms:
            limiter = vm.daemon._limiter
            vm.daemon._pipeline._limiter = Charging(limiter, charged, vm.name)
        assert statuses(vms[:1], 3) == [200] * 3
    assert charged == ["vm-1"] * 3


class Charging:
    """Records who takes tokens of a quota."""

    def __init__(self, limiter, charged, name):
        self.limiter, self.charged, self.name = limiter, charged, name

    def admit(self, workspace):
        self.charged.append(self.name)
        return self.limiter.admit(workspace)


def test_refusal_of_the_peer_is_passed_on_as_its_own_promise():
    with running_fleet(not_run, size=2, targets=1) as vms:
        lose(vms[0])
        status, headers, body = vms[0].call("id-1")
    assert status == 503
    assert b'"run":"not-run"' in body
    assert b"target-busy" in body
    assert float(headers["retry-after"]) > 0.0


# Guards against a key that was withdrawn on the peer working through another VM.
def test_peer_checks_the_key_again():
    target = Recorder()
    with running_fleet(target, size=2) as vms:
        lose(vms[0])
        vms[1].daemon.view.config = config(workspaces=(workspace(keys=("new",)),))
        status, _, _ = vms[0].call("id-1")
    assert status == 401
    assert target.ids == []


# Guards against the links of one VM ejecting targets for the whole fleet.
def test_connections_broken_by_the_loss_of_links_eject_no_target_elsewhere():
    release = Event()

    def respond(req):
        release.wait(5.0)
        raise ConnectionError("the links go down")

    with running_fleet(respond, size=3) as vms:
        calls = [gevent.spawn(vms[0].call, f"id-{n}") for n in range(8)]
        gevent.sleep(0.3)
        vms[0].cut = "refused"
        release.set()
        gevent.joinall(calls)
        gevent.sleep(0.3)
        dropped = vms[0].lines("report")
        statuses_elsewhere = {
            state.health.status(time.monotonic())
            for vm in vms[1:]
            for state in vm.daemon._reporter._table.all()
        }
    assert dropped
    assert statuses_elsewhere == {HealthStatus.HEALTHY}


class CountingClient:
    """Counts the connections that are opened as probes, of which all are accepted."""

    def __init__(self):
        self.opened = 0

    def open_idle(self, target, deadline):
        self.opened += 1
        return True


# Guards against probes on each report, which cost more connections than the requests.
def test_links_are_not_probed_again_after_a_later_response_or_probe(clock):
    client, table = CountingClient(), table_of(targets_of(4))
    channel = SimpleNamespace(register=lambda kind, handler: None)
    reach = Reach(
        table, client, None, channel, clock, random.Random(1), RecordingDecisionLog()
    )
    assert reach.verify(since=clock.now())
    assert client.opened == 2
    clock.advance(0.5)
    assert reach.verify(since=clock.now() - 1.0)
    assert client.opened == 2
    broken_at = clock.now()
    assert reach.verify(since=broken_at)
    assert client.opened == 4
    clock.advance(0.1)
    broken_at = clock.now()
    clock.advance(0.01)
    reach.record_response()
    assert reach.verify(since=broken_at)
    assert client.opened == 4
    assert reach.verify()
    assert client.opened == 6


def table_of(all_targets, evacuated=()):
    covers = SimpleNamespace(covers=lambda spec: spec.failure_domain in evacuated)
    return SimpleNamespace(all=all_targets, evacuations=covers)


# Guards against connections to an evacuated domain, and against a VM that takes the
# want of other targets for links that are down.
def test_evacuated_targets_are_not_probed_and_links_count_as_reached(clock):
    client, table = CountingClient(), table_of(targets_of(4), {"zone-a"})
    channel = SimpleNamespace(register=lambda kind, handler: None)
    reach = Reach(
        table, client, None, channel, clock, random.Random(1), RecordingDecisionLog()
    )
    assert reach.verify()
    assert client.opened == 0
    assert not reach.lost


def targets_of(count):
    states = [
        SimpleNamespace(spec=entry_target(f"t{n}"), target=None) for n in range(count)
    ]
    return lambda: list(states)


def test_broken_connections_of_a_vm_with_links_are_reported():
    def respond(req):
        raise ConnectionError("the target crashes")

    with running_fleet(respond, size=2) as vms:
        statuses(vms[:1], 2)
        gevent.sleep(0.2)
        assert vms[1].lines("eject")
        assert not vms[0].daemon._reach.lost


# Guards against targets that are down being taken for links that are down.
def test_vm_that_reaches_some_target_keeps_its_direct_path():
    with running_fleet(signed, size=2, targets=6) as vms:
        view = vms[0].daemon.view
        for number in range(5):
            target = view.targets[f"t{number}"]
            view.targets[f"t{number}"] = type(target)(
                **{
                    **{f: getattr(target, f) for f in target.__struct_fields__},
                    "address": "127.0.0.1:1",
                }
            )
        for listener in view._on_targets:
            listener()
        served = statuses(vms[:1], 12)
        assert not vms[0].daemon._reach.lost
    assert served == [200] * 12


@pytest.mark.parametrize("how", CUTS)
def test_vm_returns_to_its_direct_path_when_the_links_are_back(how):
    with running_fleet(signed, size=2) as vms:
        lose(vms[0], how)
        vms[0].cut = ""
        with gevent.Timeout(RETURN_S + 2.0):
            while vms[0].daemon._reach.lost:
                gevent.sleep(0.05)
        before = len(vms[0].lines("relay"))
        assert statuses(vms[:1], 5) == [200] * 5
        assert len(vms[0].lines("relay")) == before
    whys = [why for _, _, why, _ in vms[0].lines("reach")]
    assert whys == ["lost", "regained"]


# Guards against an idempotent request waiting on a connection that hangs for good.
def test_idempotent_request_in_flight_is_tried_through_another_vm():
    hung = Event()

    def respond(req):
        if not hung.is_set():
            hung.set()
            gevent.sleep(20.0)
        return signed(req)

    cfg = cfg_of(idempotent=True, timeout_s=8.0)
    with running_fleet(respond, size=2, targets=3, cfg=cfg) as vms:
        call = gevent.spawn(vms[0].call, "id-1")
        hung.wait(5.0)
        lose(vms[0], "hang")
        status, _, _ = call.get(timeout=6.0)
    assert status == 200


# Guards against a refusal of another VM ending an attempt whose target is at work.
def test_refused_hedge_through_another_vm_leaves_the_first_attempt_at_work():
    started = Event()

    def respond(req):
        if req.headers.get("X-Id") == "id-1" and not started.is_set():
            started.set()
            gevent.sleep(2.5)
            return signed(req)
        return not_run(req)

    cfg = cfg_of(idempotent=True, timeout_s=8.0)
    with running_fleet(respond, size=2, targets=3, cfg=cfg) as vms:
        call = gevent.spawn(vms[0].call, "id-1")
        started.wait(5.0)
        vms[0].cut = "hang"
        vms[0].daemon._reach.verify()
        status, _, _ = call.get(timeout=8.0)
        assert vms[0].lines("relay")
    assert status == 200


# Guards against a planned stop that cuts requests of other VMs.
def test_planned_stop_of_the_peer_cuts_no_relayed_request():
    started, release = Event(), Event()

    def respond(req):
        if req.headers.get("X-Id") == "id-1":
            started.set()
            release.wait(5.0)
        return signed(req)

    with running_fleet(respond, size=2, targets=2) as vms:
        lose(vms[0])
        running = gevent.spawn(vms[0].call, "id-1")
        started.wait(5.0)
        stopping = gevent.spawn(vms[1].daemon.stop)
        gevent.sleep(0.1)
        refused, _, body = vms[0].call("id-2")
        release.set()
        served, _, _ = running.get(timeout=5.0)
        assert stopping.get(timeout=5.0) == 0
    assert (served, refused) == (200, 503)
    assert b'"run":"not-run"' in body


# Guards against a request that a stopping carrier has not sent being given up.
def test_request_that_a_stopping_carrier_has_not_sent_goes_through_another(monkeypatch):
    waiting = Event()
    is_quarantined = EntryQuarantine.is_quarantined

    def block(quarantine, fingerprint):
        if quarantine._fleet.vm_id == "vm-2":
            waiting.set()
            gevent.sleep(30.0)
        return is_quarantined(quarantine, fingerprint)

    target = Recorder()
    with running_fleet(target, size=3) as vms:
        lose(vms[0])
        monkeypatch.setattr(EntryQuarantine, "is_quarantined", block)
        calls = []
        while not waiting.is_set():
            calls.append(gevent.spawn(vms[0].call, f"id-{len(calls)}"))
            gevent.sleep(0.05)
        assert vms[1].daemon.stop() >= 1
        served = [call.get(timeout=5.0)[0] for call in calls]
        cuts = {fields["run"] for *_, fields in vms[1].lines("cut")}
    assert served == [200] * len(calls)
    assert cuts == {"not-run"}
    assert len(target.ids) == len(set(target.ids)) == len(calls)


# Guards against a target working on for a caller that has left another VM.
def test_target_is_freed_when_the_caller_of_the_relaying_vm_leaves():
    started, freed = Event(), Event()

    def respond(req):
        started.set()
        while not req.is_disconnected():
            gevent.sleep(0.01)
        freed.set()
        return signed(req)

    with running_fleet(respond, size=2, cfg=cfg_of(idempotent=True)) as vms:
        lose(vms[0])
        call = gevent.spawn(vms[0].call, "id-1")
        started.wait(5.0)
        call.kill()
        assert freed.wait(1.0)


@pytest.mark.parametrize("size", [1_000, 900_000])
def test_whole_bodies_pass_both_ways(size):
    def respond(req):
        return signed(req, body=b"".join(req.body)[::-1])

    with running_fleet(respond, size=2) as vms:
        lose(vms[0])
        body = bytes(range(256)) * (size // 256)
        status, _, received = vms[0].call("id-1", body=body)
    assert (status, received) == (200, body[::-1])


def test_long_response_that_ends_early_does_not_look_complete():
    def respond(req):
        headers = Headers((("X-Id", req.headers.get("X-Id")), ("X-Signature", "s")))
        headers.set("Content-Length", "900000")
        return Response(200, headers, long_body())

    def long_body():
        yield b"x" * 600_000
        raise ConnectionError("the target crashes")

    with running_fleet(respond, size=2) as vms:
        lose(vms[0])
        status, headers, body = vms[0].call("id-1")
    assert status != 200 or len(body) < int(headers["content-length"])


# TCP_USER_TIMEOUT also decides when keep-alive probes give up, so none may be set.
def test_connections_to_targets_have_keep_alive_and_no_user_timeout():
    with running_fleet(signed, size=1, targets=1) as vms:
        assert statuses(vms, 1) == [200]
        pool = next(iter(vms[0].daemon._client._pools))
        sock = pool._idle[0]._http.sock
        tcp = socket.IPPROTO_TCP
        assert sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) == 0
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        assert sock.getsockopt(tcp, socket.TCP_KEEPIDLE) == 10


# Guards against a service with few targets being refused until the loss is proved.
@pytest.mark.parametrize("targets", [1, 3])
def test_request_of_a_service_with_few_targets_is_relayed_at_once(targets):
    with running_fleet(signed, size=3, targets=targets) as vms:
        vms[0].cut = "refused"
        assert vms[0].call("id-1")[0] == 200


# Guards against a request that crosses the close of an idle connection between VMs.
def test_idle_timeout_of_callers_does_not_close_connections_between_vms():
    limits = CallerLimits(idle_timeout_s=0.5)
    cfg = msgspec.structs.replace(config(), limits=limits)
    with running_fleet(signed, size=2, cfg=cfg) as vms:
        lose(vms[0])
        assert statuses(vms[:1], 1) == [200]
        gevent.sleep(0.8)
        assert vms[1].daemon._relay_server.connection_count == 1


# Guards against a header of another build that is dropped without a trace.
def test_retry_after_of_a_peer_that_is_no_number_is_logged():
    log = RecordingDecisionLog()
    response = SimpleNamespace(headers=Headers((("Retry-After", "soon"),)))
    assert _retry_after_s(response, log) is None
    assert [line[:3] for line in log.lines] == [("relay", "Retry-After", "ignored")]
