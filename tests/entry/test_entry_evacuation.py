"""Tests of evacuated failure domains on one VM, and through a carrier."""

from types import SimpleNamespace

import msgspec
import pytest
from entry_helper import MISSING_GRACE_S, Network, Vm, at, config, entry_target, route
from evacuation_helper import DOMAINS, Picker, targets_in
from path_helper import caller_server
from stack_helper import Stack, running, signed
from test_entry_daemon import SETTINGS

from lacewingpond.entry.evacuation.emptying import Emptying
from lacewingpond.entry.settings import check_entry_settings
from lacewingpond.entry.targets.health import BROKEN_EVIDENCE
from lacewingpond.platform.formats import FORMATS as PLATFORM_FORMATS
from lacewingpond.store.base import WatchEvent
from lacewingpond.telemetry.decision_metrics import DecisionMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog


def put(vm, *changes):
    """Apply changes, (key, value) each, as one batch."""
    first = vm.cache.position.revision + 1
    events = [WatchEvent(k, v, first + n) for n, (k, v) in enumerate(changes)]
    vm.cache.apply(events, at(first + len(events) - 1))


def add_targets(vm, targets):
    put(vm, *((f"targets/{t.target_id}", msgspec.json.encode(t)) for t in targets))


@pytest.fixture
def picker(clock):
    vm = Vm("vm-1", 1, Network(), clock)
    picker = Picker(vm)
    add_targets(vm, targets_in())
    return picker


def lines(vm, what):
    return [(which, why) for kind, which, why, _ in vm.log.lines if kind == what]


# Guards against a domain that gets requests while evacuated, or none ever after.
def test_evacuated_domains_get_nothing_until_the_end(picker):
    vm, ended = picker.vm, []
    vm.view.evacuations.on_ended(ended.append)
    put(vm, ("evacuate/zone-a", b"{}"), ("evacuate/zone-b", b"{}"))
    assert picker.domains() == {"zone-c"}
    assert set(picker.closed) == {
        t.address for t in targets_in() if t.failure_domain != "zone-c"
    }
    put(vm, ("evacuate/zone-a", None))
    assert picker.domains(count=60) == {"zone-a", "zone-c"}
    assert ended == ["zone-a"]


# Guards against a domain that is told to be empty while a request runs there.
def test_domain_is_empty_once_requests_and_connections_have_ended(picker):
    left = {"127.0.0.9:9000": 1}
    client = SimpleNamespace(connections=lambda target: left.get(target.address, 0))
    emptying = Emptying(picker.table, client, picker.vm.log)
    put(picker.vm, ("evacuate/zone-a", b"{}"))
    emptying.sweep()
    left.clear()
    picker.table.get("zone-a-1").in_flight = 1
    emptying.sweep()
    assert ("zone-a", "empty") not in lines(picker.vm, "evacuation")
    picker.table.get("zone-a-1").in_flight = 0
    emptying.sweep()
    emptying.sweep()
    assert lines(picker.vm, "evacuation") == [("zone-a", "begin"), ("zone-a", "empty")]


# Guards against connections that stay open as running requests end after the begin.
def test_connections_that_become_idle_later_are_closed(picker):
    put(picker.vm, ("evacuate/zone-a", b"{}"))
    picker.closed.clear()
    picker.table.close_evacuated()
    assert set(picker.closed) == {
        t.address for t in targets_in() if t.failure_domain == "zone-a"
    }


# Guards against trials of ejected targets in an evacuated domain, also as last resort,
# and against a floor of ejections that counts evacuated targets.
def test_ejected_targets_of_an_evacuated_domain_get_no_trials(picker, clock):
    put(picker.vm, ("evacuate/zone-a", b"{}"), ("evacuate/zone-b", b"{}"))
    for state in picker.table.all():
        state.health.add(clock.now(), 0, BROKEN_EVIDENCE, 0)
    clock.advance(1.0)
    assert picker.domains() == {"zone-c"}
    # Two targets remain, of which at most one may be left out.
    assert picker.placer.passed_over("svc") == {"evacuated": 4, "ejected": 1}


# Guards against a key that is first seen before the domain's targets are.
@pytest.mark.parametrize("batches", [1, 2])
def test_order_of_keys_in_the_first_listing_does_not_matter(clock, batches):
    vm = Vm("vm-1", 1, Network(), clock)
    picker, target = Picker(vm), targets_in(("zone-a",), 1)[0]
    changes = [
        ("evacuate/zone-a", b"{}"),
        (f"targets/{target.target_id}", msgspec.json.encode(target)),
    ]
    for part in [changes] if batches == 1 else [[c] for c in changes]:
        put(vm, *part)
    assert picker.domains() == set()
    assert lines(vm, "evacuation") == [("zone-a", "begin")]
    assert len(lines(vm, "evacuation-key")) == batches - 1


# Guards against bad keys that change something, or about which nobody is told.
@pytest.mark.parametrize(
    ("changes", "why", "evacuated"),
    [
        ([("evacuate/", b"{}")], "ignored: no name", set()),
        ([("evacuate/" + "z" * 65, b"{}")], "ignored: name too long", set()),
        ([("evacuate/zone-x", b"{}")], "unknown failure domain", set()),
        ([("evacuate/zone-a", b"\xff")], "unreadable value", {"zone-a"}),
        ([("evacuate/zone-a", b"[]")], "unreadable value", {"zone-a"}),
        (
            [("evacuate/zone-a", b"{}"), ("evacuate/zone-a", None)],
            "written and deleted at once",
            set(),
        ),
    ],
)
def test_bad_key_has_one_log_line(picker, changes, why, evacuated):
    put(picker.vm, *changes)
    ((_, logged),) = lines(picker.vm, "evacuation-key")
    assert logged.startswith(why)
    assert len(picker.vm.view.evacuations) == len(evacuated)
    assert picker.domains(count=60) == set(DOMAINS) - evacuated


# Guards against a domain that gets requests again because the store lost the key.
def test_missing_key_holds_for_the_grace_period_and_ends(picker, clock):
    vm = picker.vm
    put(vm, ("evacuate/zone-a", b"{}"))
    vm.view.record_new_era()
    put(vm, ("evacuate/zone-a", None))
    clock.advance(MISSING_GRACE_S * 0.9)
    vm.view.drop_missing()
    assert "zone-a" not in picker.domains(count=60)
    clock.advance(MISSING_GRACE_S * 0.2)
    vm.view.drop_missing()
    assert "zone-a" in picker.domains(count=60)


# Guards against operators who can't tell since when, and by which knowledge, it holds.
def test_begin_and_end_are_logged_and_counted(picker):
    vm, told = picker.vm, RecordingDecisionLog()
    vm.view.evacuations.proof_age_s = lambda: 0.25
    metrics = vm.view.evacuations._log = DecisionMetrics(told, "/m", vm.clock)
    put(vm, ("evacuate/zone-a", b"{}"))
    revision = vm.cache.position.revision
    assert "lacewingpond_evacuated_domains 1\n" in metrics.text()
    put(vm, ("evacuate/zone-a", None))
    assert "lacewingpond_evacuated_domains 0\n" in metrics.text()
    assert [line[2] for line in told.lines] == ["begin", "end: withdrawn"]
    for _, _, _, fields in told.lines:
        assert fields["key"] == "evacuate/zone-a"
        assert fields["revision"] == revision
        assert {"era", "proof_age_s"} <= fields.keys()


# Guards against a request that waits, or reaches a target, where all are evacuated, and
# against retries, hedges or connections that the exclusion does not reach.
@pytest.mark.parametrize("idempotent", [False, True])
def test_service_with_evacuated_targets_only_is_refused_at_once(idempotent):
    seen = []

    def respond(req):
        seen.append(req.headers.get("X-Id"))
        return signed(req)

    cfg = config(routes=(route(idempotent=idempotent),))
    with running(Stack(cfg)) as stack, caller_server(respond) as server:
        stack.add_target(entry_target("t1", f"127.0.0.1:{server.port}"))
        assert stack.call()[0] == 200
        stack.put("evacuate/zone-a", b"{}")
        assert stack.client.connections(stack.table.get("t1").target) == 0
        status, headers, body = stack.call(X_Id="id-2")
        assert (status, float(headers["retry-after"])) == (503, 1.0)
        assert b"domain-evacuated" in body
        assert b"not-run" in body
        assert seen == ["id-1"]
        stack.put("evacuate/zone-a", None)
        assert stack.call(X_Id="id-3")[0] == 200


# Guards against the platform's key and values being read in another way than stated.
@pytest.mark.parametrize(
    ("value", "valid"),
    [
        (b"{}", True),
        (b'{"by":1}', True),
        (b"", False),
        (b"1", False),
        # Too deep for the decoder: an exception would end the follower of the store.
        (b'{"by":' + b"[" * 5000 + b"]" * 5000 + b"}", False),
    ],
)
def test_values_on_the_platform(value, valid):
    assert PLATFORM_FORMATS.evacuations_prefix == "op/evacuate/"
    assert PLATFORM_FORMATS.decode_evacuation(value).is_ok() is valid


# Guards against a start with a bound that is no duration.
def test_bound_is_checked():
    bad = {**SETTINGS, "bounds": {"evacuate": "soon"}}
    (finding,) = check_entry_settings(bad, "s").err_value
    assert "s.bounds.evacuate" in str(finding)
