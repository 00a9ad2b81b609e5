"""Tests of the stand-in platform through the HTTP clients of the store."""

import gevent
import msgspec
import pytest
import urllib3

from lacewingpond.standin.faults import PlatformFaults
from lacewingpond.standin.options import StandinPlatformOptions
from lacewingpond.standin.platform import StandinPlatform
from lacewingpond.store.base import StoreFailure, VmRecord
from lacewingpond.store.http import HttpStore, HttpVmList
from lacewingpond.store.options import StoreOptions
from lacewingpond.util.clock import RuntimeClock


@pytest.fixture
def platform():
    platform = StandinPlatform.from_options(StandinPlatformOptions(), RuntimeClock())
    platform.start()
    yield platform
    platform.stop()


def options_for(platform, **changes):
    return StoreOptions(address=platform.address, **changes)


@pytest.fixture
def store(platform):
    return HttpStore.from_options(options_for(platform, read_timeout_s=0.3))


def test_values_and_keys_are_the_same_after_a_round_trip(store):
    revision = store.put_if("cfg/é", b"\x00\xff", 0).unwrap()
    assert store.get("cfg/é").unwrap().value == b"\x00\xff"
    assert store.get("none").unwrap() is None
    assert [entry.revision for entry in store.scan("cfg/").unwrap()] == [revision]
    assert store.put_if("cfg/é", b"", 0).err_value.failure is StoreFailure.CONFLICT
    assert store.delete_if("cfg/é", revision).is_ok()


def test_watch_returns_a_put_and_lease_can_be_renewed(store):
    lease = store.grant_lease(30.0).unwrap()
    waiting = gevent.spawn(store.watch, "vm/", 0, 5.0)
    gevent.sleep(0.02)
    store.put_if("vm/1", b"here", 0, lease)
    assert waiting.get(timeout=2).unwrap().events[0].value == b"here"
    assert store.keep_alive(lease).is_ok()


def test_write_with_lost_response_is_unknown_and_took_effect(platform, store):
    platform.faults.lose_answers = 1
    assert store.put_if("a", b"1", 0).err_value.failure is StoreFailure.UNKNOWN
    assert store.get("a").unwrap().value == b"1"


def test_outage_is_unavailable_and_hanging_write_is_unknown(platform, store):
    platform.set_faults(PlatformFaults(outage=True))
    assert store.put_if("a", b"1", 0).err_value.failure is StoreFailure.UNAVAILABLE
    platform.set_faults(PlatformFaults(hang=True))
    assert store.put_if("a", b"1", 0).err_value.failure is StoreFailure.UNKNOWN
    assert store.get("a").err_value.failure is StoreFailure.UNAVAILABLE
    platform.set_faults(PlatformFaults())
    assert store.get("b").unwrap() is None


def test_refused_connection_is_unavailable(platform, store):
    platform.stop()
    assert store.put_if("a", b"1", 0).err_value.failure is StoreFailure.UNAVAILABLE


def test_calls_above_the_rate_are_throttled():
    options = StandinPlatformOptions(writes_per_s=0.01, reads_per_s=1.0)
    platform = StandinPlatform.from_options(options, RuntimeClock())
    platform.start()
    store = HttpStore.from_options(options_for(platform))
    assert store.get("a").is_ok()
    failures = {store.get("a").err().failure for _ in range(3)}
    platform.stop()
    assert failures == {StoreFailure.THROTTLED}


def test_control_paths_set_vms_restore_the_store_and_report_counts(platform, store):
    http = urllib3.PoolManager(retries=False)
    base = f"http://{platform.address}"
    vms = (VmRecord("vm-1", "127.0.0.1:1", "a"),)
    assert http.request("PUT", f"{base}/v1/vms", body=msgspec.json.encode(vms))
    assert HttpVmList.from_options(options_for(platform)).read().unwrap() == vms
    http.request("POST", f"{base}/_control/keep-image")
    store.put_if("a", b"1", 0)
    http.request("POST", f"{base}/_control/come-back-older")
    assert store.get("a").unwrap() is None
    stats = msgspec.json.decode(http.request("GET", f"{base}/_stats").data)
    assert stats["calls"] == {"vms": 1, "put_if": 1, "get": 1}
    assert http.request("POST", f"{base}/_control", body=b"{").status == 400
