"""Tests that two builds which run side by side understand one another.

`peer_forms` holds what landed builds shared, recorded by running them, and what this
one does.
"""

import json
from pathlib import Path

import msgspec
import pytest
from entry_helper import Network, Vm, entry_target
from form_recorder import KINDS, example, record
from limit_helper import LimitFleet, allowed
from msgspec import Struct

from lacewingpond.entry.member import Member, decode_member
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import (
    LeavingNotice,
    LimitNotice,
    LimitTokenRequest,
    Outcomes,
    ReachNotice,
    decode,
    encode,
    kind_of,
)
from lacewingpond.entry.peers.protocol import (
    BASE_VERSION,
    CURRENT_VERSION,
    DECISIONS_VERSION,
    LIMITS_VERSION,
    LOADS_VERSION,
    STATEMENTS_VERSION,
    version_of,
)
from lacewingpond.store.base import WatchEvent
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

FORMS = Path(__file__).parent / "peer_forms"
# The builds of the landings, oldest first, and the version of the protocol they speak.
LANDED = {
    "e815899": BASE_VERSION,
    "9f3c3e6": BASE_VERSION,
    "2c7a3aa": BASE_VERSION,
    "ee9febd": LIMITS_VERSION,
    "a52f939": STATEMENTS_VERSION,
    "d6532bd": DECISIONS_VERSION,
    "bb22e14": LOADS_VERSION,
}
TYPES = {"int": int, "float": float, "bool": bool, "str": str, "float | None": object}


def forms_of(build):
    return json.loads((FORMS / f"{build}.json").read_text())


def decoder_of(build):
    """Return the decoder of messages that an earlier build had."""
    forms = forms_of(build)

    class Event(Struct, frozen=True):
        key: str
        value: bytes | None
        revision: int

    def fields(schema, types):
        return [(name, types[kind]) for name, kind in schema]

    def defined(name, schema, types, **options):
        # Fields that were appended later have defaults; so does every one here that an
        # older sender may lack, which is the newest sender's concern.
        return msgspec.defstruct(
            name, fields(schema, types), frozen=True, array_like=True, **options
        )

    assert [name for name, _ in forms["WatchEvent"]] == ["key", "value", "revision"]
    types = {**TYPES, "tuple[WatchEvent, ...]": tuple[Event, ...]}
    for name in ("OutcomeRow", "LoadRow"):
        if name in forms:
            row = defined(name, forms[name], TYPES)
            types[f"tuple[{name}, ...]"] = tuple[row, ...]
    union = None
    for tag, message in forms["messages"].items():
        kind = defined(message["name"], message["fields"], types, tag=int(tag))
        union = kind if union is None else union | kind
    return msgspec.msgpack.Decoder(union)


# A change of a shared form needs a new record: see docs/design/compatibility.md.
def test_forms_of_this_build_are_recorded():
    assert record() == forms_of("current")


@pytest.mark.parametrize("build", LANDED)
def test_frames_of_landed_builds_are_read(build):
    for tag, message in forms_of(build)["messages"].items():
        found = decode(bytes.fromhex(message["frame"]))
        assert found.__struct_config__.tag == int(tag)
        names = [name for name, _ in message["fields"]]
        values = [getattr(found, f.name) for f in msgspec.structs.fields(type(found))]
        assert len(values) >= len(names)
        sent = msgspec.msgpack.decode(bytes.fromhex(message["frame"]))[1:]
        plain = [v for v in values[: len(sent)] if not isinstance(v, tuple)]
        assert plain == [v for v in sent if not isinstance(v, list)]


@pytest.mark.parametrize("build", LANDED)
def test_landed_builds_read_what_is_sent_to_them(build):
    decoder = decoder_of(build)
    for kind in KINDS:
        if version_of(kind) <= LANDED[build]:
            found = decoder.decode(encode(example(kind)))
            assert found.__struct_config__.tag == kind.__struct_config__.tag


@pytest.mark.parametrize("build", LANDED)
def test_landed_builds_get_no_message_that_they_can_not_read(build):
    decoder = decoder_of(build)
    for kind in KINDS:
        if version_of(kind) > LANDED[build]:
            with pytest.raises(msgspec.MsgspecError):
                decoder.decode(encode(example(kind)))


@pytest.mark.parametrize("build", LANDED)
def test_tags_are_never_reused_and_fields_only_appended(build):
    now, then = forms_of("current"), forms_of(build)
    pairs = [(now["OutcomeRow"], then["OutcomeRow"])]
    for tag, message in then["messages"].items():
        pairs.append((now["messages"][tag]["fields"], message["fields"]))
    for current, landed in pairs:
        kinds = [kind for _, kind in current]
        assert kinds[: len(landed)] == [kind for _, kind in landed]


# Builds that rank members or split buckets differently would admit twice the quota.
@pytest.mark.parametrize("build", LANDED)
@pytest.mark.parametrize("decision", ["ranking", "quota", "fingerprint"])
def test_builds_decide_alike_what_they_share(build, decision):
    assert forms_of(build)[decision] == forms_of("current")[decision]


@pytest.mark.parametrize("build", LANDED)
def test_entries_of_landed_builds_tell_what_they_speak(build):
    member = decode_member(forms_of(build)["member"].encode()).unwrap()
    assert member.version == LANDED[build]


def test_entry_of_this_build_tells_what_it_speaks():
    member = decode_member(forms_of("current")["member"].encode()).unwrap()
    assert member.version == CURRENT_VERSION


def test_entry_of_a_later_build_is_read():
    later = b'{"address":"10.0.0.1:7000","failure_domain":"a","speaks":9,"more":[1]}'
    assert decode_member(later).unwrap().version == 9


def mixed_fleet(clock, old, vms=9, targets=4, version=BASE_VERSION):
    """Return a fleet whose first `old` VMs say that they speak an older version."""
    fleet = LimitFleet(clock, vms=vms, targets=targets)
    for vm in fleet.vms[:old]:
        vm.speaks = version
        fleet.put(f"members/{vm.name}", vm.member.encode())
    return fleet


def sent_to(fleet, addresses):
    return {
        type(message)
        for vm in fleet.vms
        for to, message in vm.channel.sent
        if to in addresses
    }


@pytest.mark.parametrize("version", [BASE_VERSION, LIMITS_VERSION])
def test_older_builds_are_sent_nothing_that_they_do_not_speak(clock, version):
    fleet = mixed_fleet(clock, 4, version=version)
    old = {vm.address for vm in fleet.vms[:4]}
    for vm in fleet.vms:
        vm.channel.sent.clear()
    fleet.targets.limits["t0"] = "2"
    fleet.targets.leaving.add("t1")
    newer = range(4, 9)
    fleet.run(10.0, vms=newer)
    kinds = sent_to(fleet, old)
    assert all(version_of(kind) <= version for kind in kinds)
    assert LeavingNotice not in kinds
    assert LeavingNotice in sent_to(fleet, {vm.address for vm in fleet.vms[4:]})


# Guards against a holder that never answers: the target would get nothing.
@pytest.mark.parametrize("old", [2, 5, 7])
def test_holder_of_a_limit_is_a_build_that_knows_limits(clock, old):
    fleet = mixed_fleet(clock, old)
    for vm in fleet.vms[:old]:
        # An older build drops messages that it can't decode.
        for kind in (LimitNotice, LimitTokenRequest, ReachNotice, LeavingNotice):
            vm.channel.handlers[kind] = lambda message, sender: None
    fleet.targets.limits["t0"] = "4"
    fleet.run(20.0, vms=range(old, 9))
    part = (9 - old) / 9
    assert fleet.targets.arrived_at("t0") >= 0.5 * 4 * part * 20
    assert fleet.targets.most_in_a_window("t0") <= allowed(4.0 * part)


def test_outcomes_without_later_fields_are_applied(clock):
    vm = Vm("vm-1", 1, Network(), clock)
    raw = bytes.fromhex(forms_of("e815899")["messages"]["4"]["frame"])
    outcomes = decode(raw)
    assert isinstance(outcomes, Outcomes)
    assert (outcomes.rows[0].age_s, outcomes.rows[0].overdue_evidence) == (0.0, 0.0)
    assert vm.member.version == CURRENT_VERSION
    assert entry_target().incarnation == 0


def test_kind_of_a_frame_is_found_without_decoding_it():
    assert kind_of(encode(LeavingNotice("t0", 1))) == 11
    assert kind_of(msgspec.msgpack.encode([99, "later"])) == 99
    for raw in (b"", b"\xc1", msgspec.msgpack.encode({}), msgspec.msgpack.encode([])):
        assert kind_of(raw) is None


def test_unknown_kinds_are_logged_once_for_each_sender_and_counted():
    log = RecordingDecisionLog()
    channel = DatagramChannel.__new__(DatagramChannel)
    channel.unknown_count, channel._unknown, channel._log = 0, set(), log
    frames = [msgspec.msgpack.encode([kind, "later"]) for kind in (98, 99)] * 50
    for sender in ("10.0.0.1:7000", "10.0.0.2:7000"):
        for frame in frames:
            channel._record_unknown(sender, frame, "invalid tag")
    assert channel.unknown_count == 200
    assert len(log.lines) == 4


def test_changes_of_the_store_survive_encoding():
    events = (WatchEvent("a", b"1", 5), WatchEvent("b", None, 6))
    found = msgspec.msgpack.decode(
        msgspec.msgpack.encode(events), type=tuple[WatchEvent, ...]
    )
    assert found == events


def test_every_member_speaks_the_base_version():
    assert Member("10.0.0.1:7000", "zone-a").version == BASE_VERSION
    assert Member("10.0.0.1:7000", "zone-a", "10.0.0.1:7001").version == LIMITS_VERSION
    assert STATEMENTS_VERSION <= CURRENT_VERSION
