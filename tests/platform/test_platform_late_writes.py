"""Tests of entries that the platform's store writes late or out of order."""

import msgspec
import pytest

from lacewingpond.entry.hold_over import holds_over
from lacewingpond.entry.store_cache import StoreCache
from lacewingpond.entry.store_view import StoreView
from lacewingpond.entry.write_order import LATE_WRITE_S, WriteOrder
from lacewingpond.platform.formats import FORMATS, is_older
from lacewingpond.store.base import Listing, StoreEntry, StorePosition, WatchEvent
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

KEY = "servers/i-1"
BORN = 1772512925314
SOURCES = ("watch", "peer", "listing")


def raw(sequence, state="ready", born=BORN, **changes):
    entry = {
        "service": "huvo11a",
        "address": "10.128.0.9:8080",
        "zone": "bagmati-a",
        "version": "v1",
        "slots": 6,
        "state": state,
        "warmup-left": "0ms",
        "sequence": sequence,
        "born": born,
    }
    return msgspec.json.encode({**entry, **changes})


class LateVm:
    """The store view of one VM, which gets its changes from any source."""

    def __init__(self, clock):
        log = self.log = RecordingDecisionLog()
        order = WriteOrder(FORMATS.is_older, clock, log)
        self.cache = StoreCache(FORMATS.is_same, holds_over(FORMATS), order)
        self.view = StoreView(self.cache, FORMATS, clock, log, 2.0)
        self.others = (StoreEntry("servers/i-2", raw(1), 1),)
        self.cache.apply_listing(Listing(self.others, 1))

    def write(self, value, source="watch", date=None):
        """Pass on a write or a removal; a listing may date it earlier."""
        revision = self.cache.position.revision + 5
        position = StorePosition(revision=revision)
        if source == "watch":
            self.cache.apply([WatchEvent(KEY, value, revision - 1)], position)
        elif source == "peer":
            event = WatchEvent(KEY, value, revision - 1)
            self.cache.apply_peer_changes([event], position, 0)
        else:
            entry = (StoreEntry(KEY, value, date or revision - 1),)
            entry = entry if value is not None else ()
            self.cache.apply_listing(Listing(self.others + entry, revision))

    @property
    def target(self):
        return self.view.targets.get("i-1")


@pytest.fixture
def vm(clock):
    return LateVm(clock)


# Guards against requests to a draining target, as the store executes a heartbeat late
# whose answer was lost.
@pytest.mark.parametrize("source", SOURCES)
@pytest.mark.parametrize("first", SOURCES)
def test_late_heartbeat_does_not_undo_that_a_target_drains(vm, clock, first, source):
    vm.write(raw(7), first)
    vm.write(raw(9, "draining"), first)
    clock.advance(6.0)
    vm.write(raw(8), source)
    assert vm.target.draining
    vm.write(raw(10, "draining"), source)
    assert vm.target.draining
    late = [which for what, which, why, _ in vm.log.lines if "late write" in why]
    assert late == [KEY]


# Guards against a late write that a peer took, as it knew no other, and that comes with
# all of its keys.
def test_late_heartbeat_that_a_peer_knows_is_ignored_again(vm):
    vm.write(raw(7))
    vm.write(raw(9, "draining"))
    vm.write(raw(8))
    late_at = vm.cache.position.revision
    vm.write(raw(8), "listing", date=late_at)
    assert vm.target.draining


# Guards against a peer that learns nothing of a late write's end, as the next heartbeat
# is equivalent to what is known here.
def test_next_heartbeat_after_a_late_one_is_passed_on(vm):
    vm.write(raw(9, "draining"))
    vm.write(raw(8))
    revision = vm.cache.position.revision
    vm.write(raw(10, "draining"))
    assert [event.key for event in vm.cache.changes_since(revision)] == [KEY]
    vm.write(raw(11, "draining"))
    assert vm.cache.changes_since(revision + 5) == ()


# Guards against the same where a peer's changes come from a VM that ignored the write.
def test_next_heartbeat_is_passed_on_after_a_peer_has_ignored_a_late_one(vm, clock):
    vm.write(raw(9, "draining"))
    vm.write(raw(8))
    follower = LateVm(clock)
    follower.cache.apply_peer_changes(
        vm.cache.changes_since(1), vm.cache.position, 0, vm.cache.late_keys
    )
    revision = follower.cache.position.revision
    follower.write(raw(10, "draining"))
    assert [event.key for event in follower.cache.changes_since(revision)] == [KEY]


# Guards against a state that is back and taken for a late write: a peer does not know
# the numbers of all heartbeats.
def test_state_that_is_back_is_taken_from_all_keys_of_a_peer(vm):
    vm.write(raw(7))
    date = vm.cache.position.revision
    vm.write(raw(9, "draining"))
    vm.write(raw(7), "listing", date=date)
    assert not vm.target.draining


# Guards against an entry that is back although its target has left.
@pytest.mark.parametrize("source", SOURCES)
@pytest.mark.parametrize("state", ["ready", "draining"])
def test_late_heartbeat_does_not_bring_back_a_target_that_has_left(vm, state, source):
    vm.write(raw(9, state))
    vm.write(None)
    vm.write(raw(8), source)
    assert vm.target is None


# Guards against requests to the address, and in the state, of an earlier start.
@pytest.mark.parametrize("source", SOURCES)
def test_late_heartbeat_of_an_earlier_incarnation_is_ignored(vm, source):
    vm.write(raw(50))
    vm.write(raw(1, "draining", BORN + 4000, address="10.128.0.9:8081"))
    vm.write(raw(51), source)
    assert (vm.target.address, vm.target.draining) == ("10.128.0.9:8081", True)
    vm.write(None)
    vm.write(raw(52), source)
    assert vm.target is None


# Guards against a heartbeat that is compared with the first of equivalent ones only.
def test_late_heartbeat_is_compared_with_the_newest_one(vm):
    vm.write(raw(7))
    vm.write(raw(9))
    vm.write(raw(8, "draining"))
    assert not vm.target.draining


@pytest.mark.parametrize("source", SOURCES)
def test_target_that_starts_again_or_is_back_is_used(vm, source):
    vm.write(raw(50, "draining"))
    vm.write(raw(1, born=BORN + 4000), source)
    assert not vm.target.draining
    vm.write(None)
    vm.write(raw(2, born=BORN + 4000), source)
    assert vm.target is not None
    vm.write(raw(3, "draining", BORN + 4000), source)
    vm.write(raw(4, born=BORN + 4000), source)
    assert not vm.target.draining


# Guards against a target that is lost for good, as its clock went back before a start.
@pytest.mark.parametrize("removed", [False, True])
def test_target_that_was_born_earlier_is_used_after_a_while(vm, clock, removed):
    vm.write(raw(50, "draining"))
    if removed:
        vm.write(None)
    vm.write(raw(1, born=BORN - 4000))
    assert vm.target is None or vm.target.draining
    clock.advance(LATE_WRITE_S + 1.0)
    vm.write(raw(2, born=BORN - 4000))
    assert not vm.target.draining


@pytest.mark.parametrize(
    ("value", "other"),
    [
        (raw(8), raw(8)),
        (raw(9), raw(8)),
        (raw(1, born=BORN + 1), raw(9)),
        (b"\xff", raw(9)),
        (raw(8), b"{}"),
        (raw(8), raw(9, born=None)),
        (raw(None), raw(9)),
        (raw(8), raw("9")),
    ],
)
def test_write_is_older_only_if_both_state_their_order(value, other):
    assert not is_older(KEY, value, other)


def test_write_of_the_same_or_an_earlier_start_is_older():
    assert is_older(KEY, raw(8), raw(9))
    assert is_older(KEY, raw(50), raw(1, born=BORN + 1))
    assert not is_older("fleet/vm-1", raw(8), raw(9))
