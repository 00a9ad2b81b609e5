"""Tests of decoding and comparing the entries that targets write."""

import msgspec
import pytest

from lacewingpond.entry.store_cache import StoreCache
from lacewingpond.platform.formats import is_same
from lacewingpond.platform.instance_entry import decode_instance
from lacewingpond.store.base import StorePosition, WatchEvent

ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "bagmati-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "warmup-left": "1500ms",
    "sequence": 4,
    "born": 1772512925314,
}


def raw(**changes):
    return msgspec.json.encode({**ENTRY, **changes})


def test_entry_is_decoded():
    found = decode_instance("i-1", raw()).unwrap()
    assert (found.target_id, found.service, found.slots) == ("i-1", "huvo11a", 6)
    assert (found.draining, found.warmup_left_s) == (False, 1.5)
    assert found.incarnation == ENTRY["born"]


def test_draining_state_is_decoded():
    assert decode_instance("i-1", raw(state="draining")).unwrap().draining


@pytest.mark.parametrize(
    "bad",
    [
        b"\x00\x01",
        b"[]",
        raw()[:-3],
        raw(state="resting"),
        raw(slots="six"),
        raw(slots=0),
        raw(address="somewhere"),
        raw(address=None),
        msgspec.json.encode({k: v for k, v in ENTRY.items() if k != "service"}),
        raw(**{"warmup-left": 3}),
        raw(sequence="six"),
        raw(sequence=None),
    ],
)
def test_malformed_entry_is_an_error(bad):
    assert decode_instance("i-1", bad).is_err()


HUGE = b"9" * 401


def with_number(name, digits):
    return raw(**{name: 12345}).replace(b"12345", digits)


# Guards against an entry of another writer that is taken for a sound target, and makes
# each choice of a target, or each message about it, fail.
@pytest.mark.parametrize(
    "bad",
    [
        with_number("slots", HUGE),
        with_number("slots", b"9" * 19),
        with_number("slots", b"9" * 20),
        with_number("slots", b"65536"),
        with_number("slots", b"-6"),
        with_number("slots", b"1e3"),
        with_number("slots", b"1e999"),
        with_number("born", HUGE),
        with_number("born", b"9" * 5000),
        with_number("born", b"9223372036854775808"),
        with_number("born", b"-1"),
        with_number("sequence", HUGE).replace(b'"ready"', b'"' + HUGE + b'"'),
        with_number("sequence", HUGE),
        with_number("sequence", b"9223372036854775808"),
        with_number("sequence", b"-1"),
        raw(address="10.128.0.9:0"),
        raw(address="10.128.0.9:99999"),
        raw(address="10.128.0.9:" + "9" * 5000),
        raw(address="a" * 10_000),
        raw(zone=""),
        raw(zone="z" * 201),
        raw(service=""),
        raw(**{"warmup-left": "9" * 400 + "s"}),
        raw(state="x" * 10_000),
    ],
)
def test_entry_beyond_what_a_target_can_be_is_an_error_with_a_short_reason(bad):
    assert len(decode_instance("i-1", bad).unwrap_err()) <= 200


@pytest.mark.parametrize("target_id", ["", "i\r\nX: 1", "i-\u00e9", "i-\x7f"])
def test_id_that_no_header_can_hold_is_an_error(target_id):
    assert decode_instance(target_id, raw()).is_err()


def test_entry_without_a_number_is_decoded():
    entry = {k: v for k, v in ENTRY.items() if k not in ("sequence", "born")}
    assert decode_instance("i-1", msgspec.json.encode(entry)).unwrap().incarnation == 0


def test_largest_numbers_are_decoded():
    entry = raw(slots=65_535, born=2**63 - 1)
    assert decode_instance("i-1", entry).unwrap().incarnation == 2**63 - 1


def warmup(left):
    return raw(sequence=5, **{"warmup-left": left})


@pytest.mark.parametrize(("before", "after"), [("1500ms", "200ms"), ("0ms", "0ms")])
def test_heartbeat_without_another_change_is_equivalent(before, after):
    assert is_same("servers/i-1", warmup(before), warmup(after))


# Guards against a VM that gets only changes taking a second warm-up for the first one.
@pytest.mark.parametrize(
    ("before", "after"), [("0ms", "2s"), ("1s", "2s"), ("3s", "0ms")]
)
def test_end_of_a_warmup_and_a_later_one_are_changes(before, after):
    assert not is_same("servers/i-1", warmup(before), warmup(after))


# Guards against a fall of the warm-up being forgotten, so that its rise goes unseen.
def test_warmup_is_compared_with_the_newest_value():
    cache = StoreCache(is_same, lambda *args: False)
    changes = []
    cache.on_change(changes.extend)
    for revision, left in enumerate(("3s", "1500ms", "2900ms"), 1):
        event = WatchEvent("servers/i-1", warmup(left), revision)
        cache.apply([event], StorePosition(revision=revision))
    assert [event.revision for event in changes] == [1, 3]


@pytest.mark.parametrize(
    "change", [{"state": "draining"}, {"address": "10.128.0.9:8081"}, {"born": 5}]
)
def test_change_of_state_address_or_incarnation_is_not_equivalent(change):
    assert not is_same("servers/i-1", raw(), raw(**change))


# An entry of another writer that raises would end the follower of the store.
def test_deeply_nested_entry_is_an_error():
    nested = b'{"more":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    assert decode_instance("i-1", nested).is_err()
