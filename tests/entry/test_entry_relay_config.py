"""Tests of relayed requests while VMs have different configurations or targets."""

from collections import Counter
from types import SimpleNamespace

import gevent
import msgspec
import pytest
from entry_helper import KEY, config, entry_target, route, workspace
from fleet_helper import Recorder, lose, running_fleet, statuses
from path_helper import caller_server
from stack_helper import signed

from lacewingpond.entry.model.config_position import (
    ConfigPosition,
    parse_config_position,
)
from lacewingpond.entry.model.route import WeightedService
from lacewingpond.entry.model.service import EntryService
from lacewingpond.entry.peers.messages import LeavingNotice
from lacewingpond.entry.peers.protocol import STATEMENTS_VERSION
from lacewingpond.entry.relay.decision import (
    DECISION_HEADER,
    RelayDecision,
    parse_decision,
)

MOVED = (WeightedService("svc-2", 1.0),)


def cfg_of(version, *routes, **fields):
    cfg = config(version, routes, **fields)
    services = {name: EntryService(name) for name in ("svc", "svc-2")}
    return msgspec.structs.replace(cfg, services=services)


def add_service(vms, server):
    """Add a target of the second service for all VMs."""
    target = entry_target("t-2", f"127.0.0.1:{server.port}")
    target = msgspec.structs.replace(target, service="svc-2")
    views = [vm.daemon.view for vm in vms]
    vms[0].daemon.follower._store.put("targets/t-2", msgspec.json.encode(target), "")
    with gevent.Timeout(10.0):
        while not all("t-2" in view.targets for view in views):
            gevent.sleep(0.02)


NONE = cfg_of(1)
FIRST = cfg_of(1, route())
ADDED = cfg_of(2, route())


# Guards against a route that was added being unknown again through another VM.
def test_added_route_is_served_through_a_vm_that_does_not_know_it_yet():
    with running_fleet(signed, size=2, cfg=ADDED) as vms:
        vms[1].daemon.view.config = NONE
        lose(vms[0])
        assert statuses(vms[:1], 10) == [200] * 10


# Guards against a request that is handled by an older configuration than its VM has.
@pytest.mark.parametrize("ahead", [False, True])
def test_service_is_chosen_by_the_configuration_of_the_vm_that_took_the_request(ahead):
    first, second = Recorder(), Recorder()
    moved, kept = cfg_of(2, route(split=MOVED)), FIRST
    mine, others = (kept, moved) if ahead else (moved, kept)
    with (
        running_fleet(first, size=3, cfg=mine) as vms,
        caller_server(second) as server,
    ):
        add_service(vms, server)
        vms[1].daemon.view.config = others
        lose(vms[0])
        assert statuses(vms[:1], 20) == [200] * 20
    counts = [len(first.ids), len(second.ids)]
    assert counts == ([20, 0] if ahead else [0, 20])


# Guards against a key that was added being refused through another VM.
def test_added_key_is_accepted_through_a_vm_that_does_not_know_it_yet():
    added = config(2, workspaces=(workspace(keys=("old", KEY)),))
    with running_fleet(signed, size=2, cfg=added) as vms:
        vms[1].daemon.view.config = config(1, workspaces=(workspace(keys=("old",)),))
        lose(vms[0])
        assert statuses(vms[:1], 5) == [200] * 5


# Guards against a key that a newer version withdrew working through an older VM.
@pytest.mark.parametrize("version", [1, 2])
def test_key_that_the_carrier_knows_as_withdrawn_is_refused(version):
    target = Recorder()
    with running_fleet(target, size=2) as vms:
        newer = config(version, workspaces=(workspace(keys=("new",)),))
        vms[1].daemon.view.config = newer
        lose(vms[0])
        assert statuses(vms[:1], 3) == [401] * 3
    assert target.ids == []


# Guards against a request that may no longer be repeated running twice.
def test_kind_of_a_request_is_that_of_the_vm_that_took_it():
    def respond(req):
        raise ConnectionError("the target crashes")

    target = Recorder(respond)
    cfg = cfg_of(2, route(idempotent=False, max_attempts=3))
    with running_fleet(target, size=2, cfg=cfg) as vms:
        older = cfg_of(1, route(idempotent=True, max_attempts=3))
        vms[1].daemon.view.config = older
        lose(vms[0])
        assert statuses(vms[:1], 4) == [502] * 4
    assert max(Counter(target.ids).values()) == 1


# Guards against a request being ended at a time-out that is no longer in force.
def test_longer_timeout_holds_through_a_vm_with_a_shorter_one():
    def respond(req):
        gevent.sleep(0.5)
        return signed(req)

    with running_fleet(respond, size=2, cfg=FIRST) as vms:
        vms[1].daemon.view.config = cfg_of(1, route(timeout_s=0.2))
        lose(vms[0])
        assert statuses(vms[:1], 2) == [200] * 2


# Guards against requests being refused because their carrier can't check keys.
def test_vm_that_the_store_turns_away_carries_requests_whose_key_was_checked():
    with running_fleet(signed, size=2) as vms:
        vms[1].daemon._freshness.max_age_s = -1.0
        lose(vms[0])
        assert statuses(vms[:1], 5) == [200] * 5


# Guards against a target that leaves getting requests through a VM that was not told.
@pytest.mark.parametrize("how", ["statement", "entry"])
def test_target_that_leaves_gets_no_request_through_another_vm(how):
    target, leaving = Recorder(), Recorder()
    with (
        running_fleet(target, size=2) as vms,
        caller_server(leaving) as server,
    ):
        store = vms[0].daemon.follower._store
        entry = entry_target("t-2", f"127.0.0.1:{server.port}")
        store.put("targets/t-2", msgspec.json.encode(entry), "")
        with gevent.Timeout(10.0):
            while not all("t-2" in vm.daemon.view.targets for vm in vms):
                gevent.sleep(0.02)
        if how == "statement":
            notice = LeavingNotice("t-2", 0)
            vms[0].daemon._statements._handle_notice(notice, "peer")
        else:
            targets = vms[0].daemon.view.targets
            targets["t-2"] = msgspec.structs.replace(entry, draining=True)
            for listener in vms[0].daemon.view._on_targets:
                listener()
        lose(vms[0])
        assert statuses(vms[:1], 20) == [200] * 20
    assert leaving.ids == []


# Guards against a refusal for want of targets that other VMs know.
def test_vm_without_targets_of_the_service_is_passed_over():
    with running_fleet(signed, size=3) as vms:
        vms[1].daemon.view.targets.clear()
        for listener in vms[1].daemon.view._on_targets:
            listener()
        lose(vms[0])
        assert statuses(vms[:1], 10) == [200] * 10


# Guards against a refusal for pauses that the targets have asked of one VM alone.
def test_vm_of_which_all_targets_want_a_pause_is_passed_over():
    with running_fleet(signed, size=3) as vms:
        for target in vms[1].daemon.view.targets.values():
            key = (target.target_id, target.incarnation)
            vms[1].daemon._statements._pause(key, 30.0)
        lose(vms[0])
        assert statuses(vms[:1], 10) == [200] * 10


# Guards against logs that can't tell by which version a relayed request was handled.
def test_log_names_both_versions_of_a_relayed_request():
    with running_fleet(signed, size=2, cfg=ADDED) as vms:
        vms[1].daemon.view.config = FIRST
        lose(vms[0])
        statuses(vms[:1], 1)
        fields = [line[3] for line in vms[1].lines("route")]
    assert [(f["version"], f["own_version"], f["relayed"]) for f in fields] == [
        (2, 1, True)
    ]


# Guards against a header that VMs of an earlier build would forward to targets.
def test_vm_of_an_earlier_build_gets_no_decision_and_is_used_last():
    seen = []
    with running_fleet(signed, size=3) as vms:
        for vm in vms[1:]:
            handler = vm.daemon._relay_server.handler

            def record(req, handler=handler, name=vm.name):
                seen.append((name, req.headers.get(DECISION_HEADER) is not None))
                return handler(req)

            vm.daemon._relay_server.handler = record
        members = vms[0].daemon.view.members
        members["vm-2"] = msgspec.structs.replace(
            members["vm-2"], speaks=STATEMENTS_VERSION
        )
        lose(vms[0])
        assert statuses(vms[:1], 10) == [200] * 10
        assert seen == [("vm-3", True)] * 10
        members["vm-3"] = msgspec.structs.replace(members["vm-3"], relay="")
        assert statuses(vms[:1], 1, first=10) == [200]
    assert seen[10:] == [("vm-2", False)]


# Guards against a caller that decides for the fleet.
def test_decision_that_a_caller_sends_reaches_no_other_vm():
    forged = RelayDecision("vm-9", ConfigPosition(9), "r", "svc-2", True, workspace="x")
    names = []

    def respond(req):
        names.append(req.headers.get("X-Workspace"))
        return signed(req)

    with running_fleet(respond, size=2) as vms:
        members = vms[0].daemon.view.members
        members["vm-2"] = msgspec.structs.replace(
            members["vm-2"], speaks=STATEMENTS_VERSION
        )
        lose(vms[0])
        header = f"{DECISION_HEADER}: {forged.encode()}"
        status, _, _ = vms[0].call("id-1", more=header)
    assert (status, names) == (200, ["acme"])


# Guards against a 404 for a route that only a VM of an earlier build does not know.
def test_route_that_a_vm_of_an_earlier_build_does_not_know_is_refused_as_not_run():
    with running_fleet(signed, size=2, cfg=ADDED) as vms:
        vms[1].daemon.view.config = NONE
        members = vms[0].daemon.view.members
        members["vm-2"] = msgspec.structs.replace(
            members["vm-2"], speaks=STATEMENTS_VERSION
        )
        lose(vms[0])
        status, headers, body = vms[0].call("id-1")
    assert (status, b'"run":"not-run"' in body) == (503, True)
    assert float(headers["retry-after"]) > 0.0


# Guards against a decision that can't be read being taken for none.
@pytest.mark.parametrize("value", ["", "none", "gQ==", "kw=="])
def test_invalid_decision_is_logged_and_refused_as_not_run(value):
    target = Recorder()
    with running_fleet(target, size=2) as vms:
        lose(vms[0])
        sender = vms[0].daemon._pipeline._context.relay
        sender._decide = lambda request: SimpleNamespace(encode=lambda: value)
        status, _, body = vms[0].call("id-1")
        assert [line[2] for line in vms[1].lines("relay")] == ["invalid"]
    assert (status, b'"run":"not-run"' in body) == (503, True)
    assert target.ids == []


# Guards against a key whose check has expired on the way being used.
def test_check_of_a_key_holds_only_as_long_as_the_proof_of_its_vm():
    target = Recorder()
    with running_fleet(target, size=2) as vms:
        lose(vms[0])
        vms[1].daemon._freshness.max_age_s = -1.0
        sender = vms[0].daemon._pipeline._context.relay
        decide = sender._decide
        sender._decide = lambda request: msgspec.structs.replace(
            decide(request), valid_s=-0.001
        )
        assert statuses(vms[:1], 2) == [503] * 2
        vms[1].daemon._freshness.max_age_s = 60.0
        assert statuses(vms[:1], 2, first=2) == [200] * 2
    assert target.ids == ["id-2", "id-3"]


# Guards against VMs that relay requests staying at different configurations.
@pytest.mark.parametrize("behind", [0, 1])
def test_vm_that_is_behind_catches_up_with_the_other_one(behind):
    with running_fleet(signed, size=2, cfg=ADDED) as vms:
        vms[behind].daemon.view.config = FIRST
        asked = {0: [], 1: []}
        for number, vm in enumerate(vms):
            pipeline = vm.daemon._pipeline
            pipeline._catch_up = asked[number].append
            pipeline._context.relay._catch_up = asked[number].append
        lose(vms[0])
        assert statuses(vms[:1], 1) == [200]
    assert asked == {behind: [vms[1 - behind].name], 1 - behind: []}


def test_decision_survives_its_header():
    decision = RelayDecision(
        "vm-1",
        ConfigPosition(7, 2),
        "route\u00e9",
        "svc",
        True,
        3,
        1.5,
        4,
        "acme",
        2.5,
        (("t-1", 1785310069212),),
    )
    header = decision.encode()
    assert header.isascii()
    assert parse_decision(header).ok_value == decision
    assert parse_decision(None).ok_value is None


# Guards against an incarnation that has just started being excluded for its last one.
@pytest.mark.parametrize(
    ("incarnation", "excluded"), [(4, True), (5, True), (6, False)]
)
def test_exclusion_ends_with_the_next_incarnation(incarnation, excluded):
    decision = RelayDecision("vm", ConfigPosition(), "r", "svc", leaving=(("t", 5),))
    assert decision.excludes(entry_target("t", incarnation=incarnation)) is excluded


def test_positions_order_by_version_then_by_era():
    positions = [ConfigPosition(), ConfigPosition(3, 1), ConfigPosition(3, 2)]
    assert positions[0] < positions[1] < positions[2]
    assert all(parse_config_position(p.encode()) == p for p in positions)
    assert parse_config_position(None) is None
    assert parse_config_position("x;1") is None
