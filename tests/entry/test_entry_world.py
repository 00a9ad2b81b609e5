"""Tests of what changes in the store mean to a VM."""

import msgspec
import pytest
from entry_helper import MISSING_GRACE_S, Network, Vm, decisions, instance

from lacewingpond.entry.follower import ASK_PERIOD_S, MAX_RETRY_S
from lacewingpond.store.base import WatchEvent


@pytest.fixture
def vm(clock):
    return Vm("vm-1", 1, Network(), clock)


def put(vm, key, value):
    revision = vm.catalog.revision + 1
    vm.catalog.apply([WatchEvent(key, value, revision)], revision)


def put_target(vm, target):
    put(vm, f"targets/{target.target_id}", msgspec.json.encode(target))


def test_older_version_is_not_taken(vm):
    put(vm, "config", b"5")
    put(vm, "config", b"4")
    assert vm.world.config.version == 5


def test_unreadable_configuration_leaves_the_last_one_in_force(vm):
    put(vm, "config", b"5")
    put(vm, "config", b'{"cut')
    assert vm.world.config.version == 5
    assert ("unreadable", "not a version") in decisions(vm.log, "config")


def test_unreadable_entry_names_no_target_and_harms_no_other(vm):
    put_target(vm, instance("t1"))
    put_target(vm, instance("t2"))
    put(vm, "targets/t1", b"\xff\x00")
    assert set(vm.world.instances) == {"t2"}


def test_removed_target_is_gone_at_once_while_the_store_is_well(vm):
    put_target(vm, instance("t1"))
    put(vm, "targets/t1", None)
    assert vm.world.instances == {}


def test_target_missing_after_an_outage_has_time_to_come_back(vm, clock):
    put_target(vm, instance("t1"))
    put_target(vm, instance("t2"))
    vm.world.note_outage()
    put(vm, "targets/t1", None)
    put(vm, "targets/t2", None)
    clock.advance(MISSING_GRACE_S / 2)
    vm.world.drop_missing()
    put_target(vm, instance("t2"))
    clock.advance(MISSING_GRACE_S)
    vm.world.drop_missing()
    assert set(vm.world.instances) == {"t2"}


def test_outage_is_remembered_until_the_next_call_after_it(vm, clock):
    put_target(vm, instance("t1"))
    vm.world.note_outage()
    # The pause between two calls, and the question of a peer after it.
    clock.advance(MAX_RETRY_S + ASK_PERIOD_S)
    put(vm, "targets/t1", None)
    assert set(vm.world.instances) == {"t1"}


def test_member_that_lapsed_in_an_outage_has_time_to_come_back(vm, clock):
    put(vm, "members/vm-1", vm.member.encode())
    put(vm, "members/vm-2", vm.member.encode())
    told = []
    vm.world.on_members(lambda: told.append(set(vm.world.members)))
    vm.world.note_outage()
    put(vm, "members/vm-1", None)
    put(vm, "members/vm-2", None)
    assert not vm.world.is_listed("vm-1")
    put(vm, "members/vm-1", vm.member.encode())
    clock.advance(MISSING_GRACE_S + 0.1)
    vm.world.drop_missing()
    assert told[-1] == {"vm-1"}
    assert told[0] == {"vm-1", "vm-2"}
    assert vm.world.is_listed("vm-1")


def test_member_that_leaves_while_the_store_is_well_is_gone_at_once(vm):
    put(vm, "members/vm-2", vm.member.encode())
    put(vm, "members/vm-2", None)
    assert vm.world.members == {}


def test_leaving_target_that_vanishes_in_an_outage_does_not_come_back(vm):
    put_target(vm, instance("t1", draining=True))
    vm.world.note_outage()
    put(vm, "targets/t1", None)
    assert vm.world.instances == {}


def test_unreadable_member_is_skipped(vm):
    put(vm, "members/vm-1", vm.member.encode())
    put(vm, "members/vm-2", b"{}")
    assert set(vm.world.members) == {"vm-1"}
