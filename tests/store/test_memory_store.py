"""Tests of the in-memory store and VM list."""

import gevent
import pytest

from lacewingpond.store.base import StoreFailure, VmRecord
from lacewingpond.store.memory import MemoryStore, MemoryVmList


@pytest.fixture
def store(clock):
    return MemoryStore(clock)


def test_write_and_delete_with_another_revision_conflict(store):
    first = store.put_if("a", b"1", 0).unwrap()
    assert store.put_if("a", b"2", 0).err_value.failure is StoreFailure.CONFLICT
    assert store.put_if("a", b"2", first).unwrap() == first + 1
    assert store.delete_if("a", first).err_value.failure is StoreFailure.CONFLICT
    assert store.get("a").unwrap().value == b"2"


def test_value_above_the_maximum_size_is_refused(store):
    answer = store.put_if("a", b"x" * 1_000_001, 0)
    assert answer.err_value.failure is StoreFailure.TOO_LARGE


def test_watch_returns_on_a_change_and_resumes_after_it(store, clock):
    waiting = gevent.spawn(store.watch, "cfg/", 0, 30.0)
    gevent.sleep(0)
    store.put_if("other", b"", 0)
    store.put_if("cfg/a", b"1", 0)
    batch = waiting.get(timeout=1).unwrap()
    assert [event.key for event in batch.events] == ["cfg/a"]
    store.delete_if("cfg/a", batch.events[0].revision)
    later = store.watch("cfg/", batch.revision, 0.0).unwrap()
    assert [event.value for event in later.events] == [None]


def test_watch_without_changes_ends_at_its_timeout(store, clock):
    waiting = gevent.spawn(store.watch, "cfg/", 0, 30.0)
    gevent.sleep(0)
    clock.advance(30.0)
    assert waiting.get(timeout=1).unwrap().events == ()


def test_expired_lease_removes_its_keys_and_ends_watches(store, clock):
    lease = store.grant_lease(5.0).unwrap()
    store.put_if("vm/1", b"", 0, lease)
    waiting = gevent.spawn(store.watch, "vm/", store.revision, 60.0)
    gevent.sleep(0)
    clock.advance(4.0)
    assert store.keep_alive(lease).is_ok()
    clock.advance(4.0)
    assert not waiting.ready()
    clock.advance(2.0)
    assert waiting.get(timeout=1).unwrap().events[0].value is None
    assert store.keep_alive(lease).err_value.failure is StoreFailure.CONFLICT


def test_watch_on_a_restored_store_returns_its_lower_revision(store):
    store.put_if("a", b"1", 0)
    snapshot = store.snapshot()
    last = store.put_if("b", b"1", 0).unwrap()
    store.restore(snapshot)
    batch = store.watch("", last, 60.0).unwrap()
    assert batch.revision < last
    assert store.get("b").unwrap() is None


def test_vm_list_becomes_visible_after_the_lag(clock):
    vms = MemoryVmList(clock, lag_s=10.0)
    vms.set((VmRecord("vm-1", "10.0.0.1:1", "a"),))
    assert vms.read().unwrap() == ()
    clock.advance(10.0)
    assert [vm.vm_id for vm in vms.read().unwrap()] == ["vm-1"]
