"""Tests of a VM's view of the store: configuration, targets and members."""

import msgspec
import pytest
from entry_helper import MISSING_GRACE_S, Network, Vm, at, decisions, entry_target

from lacewingpond.entry.store_contact import MIN_OUTAGE_S
from lacewingpond.store.base import WatchEvent

# Times of the rules: a store is stable this long after an outage, and a target that
# has left gets nothing this long after its entry was removed.
STABLE_S, DRAIN_S = 3.0, 2.0


@pytest.fixture
def vm(clock):
    return Vm("vm-1", 1, Network(), clock)


def put(vm, key, value):
    revision = vm.cache.position.revision + 1
    vm.cache.apply([WatchEvent(key, value, revision)], at(revision))


def put_target(vm, target):
    put(vm, f"targets/{target.target_id}", msgspec.json.encode(target))


def end_outage(vm, clock, length_s=MIN_OUTAGE_S):
    """Let a VM hear from the store again, `length_s` after the last time."""
    vm.view.record_contact(clock.boot(), "store")
    clock.advance(length_s)
    vm.view.record_contact(clock.boot(), "store")


def test_older_configuration_version_is_ignored(vm):
    put(vm, "config", b"5")
    put(vm, "config", b"4")
    assert vm.view.config.version == 5


def test_unreadable_configuration_does_not_replace_the_last_one(vm):
    put(vm, "config", b"5")
    put(vm, "config", b'{"cut')
    assert vm.view.config.version == 5
    assert ("unreadable", "not a version") in decisions(vm.log, "config")


def test_unreadable_entry_removes_only_its_own_target(vm):
    put_target(vm, entry_target("t1"))
    put_target(vm, entry_target("t2"))
    put(vm, "targets/t1", b"\xff\x00")
    assert set(vm.view.targets) == {"t2"}


def test_removed_target_is_dropped_at_once_without_an_outage(vm):
    put_target(vm, entry_target("t1"))
    put(vm, "targets/t1", None)
    assert vm.view.targets == {}


def test_target_missing_after_an_outage_is_kept_for_the_grace_period(vm, clock):
    put_target(vm, entry_target("t1"))
    put_target(vm, entry_target("t2"))
    end_outage(vm, clock)
    put(vm, "targets/t1", None)
    put(vm, "targets/t2", None)
    clock.advance(MISSING_GRACE_S / 2)
    vm.view.drop_missing()
    put_target(vm, entry_target("t2"))
    clock.advance(MISSING_GRACE_S)
    vm.view.drop_missing()
    assert set(vm.view.targets) == {"t2"}


def test_target_that_is_missing_later_in_the_grace_period_is_kept_until_its_end(
    vm, clock
):
    put_target(vm, entry_target("t1"))
    end_outage(vm, clock)
    # Its lease ran out just after the return, before it could renew it.
    clock.advance(MISSING_GRACE_S * 0.9)
    vm.view.record_contact(clock.boot(), "store")
    put(vm, "targets/t1", None)
    vm.view.drop_missing()
    assert set(vm.view.targets) == {"t1"}
    assert vm.view.drop_due_in_s(10.0) == pytest.approx(MISSING_GRACE_S * 0.1)
    clock.advance(MISSING_GRACE_S * 0.1)
    vm.view.drop_missing()
    assert vm.view.targets == {}


# Guards against requests to targets that were removed when an outage was long over.
def test_target_removed_once_the_store_is_stable_is_dropped_at_once(vm, clock):
    put_target(vm, entry_target("t1"))
    end_outage(vm, clock, 10.0)
    clock.advance(STABLE_S)
    put(vm, "targets/t1", None)
    assert vm.view.targets == {}


# Guards against a grace period that begins anew with each VM that hears of a removal.
def test_contact_of_a_peer_dates_the_return_of_the_store(vm, clock):
    put_target(vm, entry_target("t1"))
    end_outage(vm, clock)
    returned_at = clock.boot()
    clock.advance(1.0)
    vm.view.record_contact(clock.boot(), "peer")
    put(vm, "targets/t1", None)
    clock.advance(returned_at + DRAIN_S - clock.boot())
    vm.view.drop_missing()
    assert vm.view.targets == {}


def test_first_contact_of_a_daemon_ends_no_outage(vm, clock):
    vm.view.record_contact(clock.boot(), "store")
    put_target(vm, entry_target("t1"))
    put(vm, "targets/t1", None)
    assert vm.view.targets == {}


def test_member_missing_after_an_outage_is_kept_for_the_grace_period(vm, clock):
    put(vm, "members/vm-1", vm.member.encode())
    put(vm, "members/vm-2", vm.member.encode())
    notified = []
    vm.view.on_members(lambda: notified.append(set(vm.view.members)))
    end_outage(vm, clock)
    put(vm, "members/vm-1", None)
    put(vm, "members/vm-2", None)
    assert not vm.view.is_listed("vm-1")
    put(vm, "members/vm-1", vm.member.encode())
    clock.advance(MISSING_GRACE_S + 0.1)
    vm.view.drop_missing()
    assert notified[-1] == {"vm-1"}
    assert notified[0] == {"vm-1", "vm-2"}
    assert vm.view.is_listed("vm-1")


def test_removed_member_is_dropped_at_once_without_an_outage(vm):
    put(vm, "members/vm-2", vm.member.encode())
    put(vm, "members/vm-2", None)
    assert vm.view.members == {}


def test_draining_target_that_is_removed_in_an_outage_is_dropped_at_once(vm, clock):
    put_target(vm, entry_target("t1", draining=True))
    end_outage(vm, clock)
    put(vm, "targets/t1", None)
    assert vm.view.targets == {}


def test_unreadable_member_is_skipped(vm):
    put(vm, "members/vm-1", vm.member.encode())
    put(vm, "members/vm-2", b"{}")
    assert set(vm.view.members) == {"vm-1"}
