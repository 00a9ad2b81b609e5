"""Tests of following the store directly and through peers."""

import random
from contextlib import contextmanager

import gevent
import msgspec
import pytest
from entry_helper import (
    FailingListingStore,
    Network,
    Vm,
    at,
    decisions,
    entry_target,
)

from lacewingpond.entry.follower import WATCH_PAUSE_S, WATCH_TIMEOUT_S, Follower
from lacewingpond.entry.member import Member
from lacewingpond.entry.peers.messages import ChangesRequest, WatcherNotice
from lacewingpond.store.base import WatchEvent
from lacewingpond.store.memory import MemoryStore

STEP_S = 0.05
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
SETTLE_S = 6.0


class LongestWaits(random.Random):
    """Draws the longest of all random waits."""

    def uniform(self, a, b):
        return b


class FollowingVm:
    """A VM with a follower of a store whose calls can fail for this VM."""

    def __init__(self, vm, store):
        self.vm = vm
        self.store = FailingListingStore(store)
        self.follower = Follower(
            self.store,
            vm.cache,
            vm.freshness,
            vm.view,
            vm.fleet,
            vm.channel,
            vm.clock,
            vm.rng,
            vm.log,
        )

    @property
    def version(self):
        cfg = self.vm.view.config
        return cfg.version if cfg is not None else 0


@pytest.fixture
def store(clock):
    memory = MemoryStore(clock)
    memory.put("config", b"1", "")
    return memory


@contextmanager
def following(clock, store, domains, rng=None):
    """Run a fleet with one VM for each item of `domains`."""
    network = Network()
    vms = [Vm(f"vm-{n}", n, network, clock, d) for n, d in enumerate(domains, 1)]
    for vm in vms:
        store.put(f"members/{vm.name}", vm.member.encode(), "")
        vm.rng = rng or vm.rng
    fleet = [FollowingVm(vm, store) for vm in vms]
    for each in fleet:
        each.follower.start()
    run(clock, SETTLE_S)
    yield fleet
    for each in fleet:
        each.follower.stop()


@pytest.fixture
def fleet(clock, store):
    with following(clock, store, ["zone-a"] * 5) as fleet:
        yield fleet


def run(clock, seconds):
    for _ in range(round(seconds / STEP_S)):
        clock.advance(STEP_S)
        gevent.sleep(0)


def watching(fleet):
    return [each for each in fleet if each.follower.watching]


def test_one_vm_watches_and_all_have_a_proof(fleet, clock):
    run(clock, SETTLE_S)
    assert len(watching(fleet)) == 1
    assert all(each.vm.freshness.is_fresh for each in fleet)


def test_change_reaches_all_vms_within_a_second(fleet, clock, store):
    store.put("config", b"2", "")
    run(clock, 1.0)
    assert [each.version for each in fleet] == [2] * 5


def test_vm_cut_off_from_the_store_follows_peers(fleet, clock, store):
    cut = next(each for each in fleet if not each.follower.watching)
    cut.store.unavailable = True
    run(clock, SETTLE_S)
    store.put("config", b"2", "")
    store.put("targets/t1", msgspec.json.encode(entry_target(draining=True)), "")
    run(clock, 1.0)
    assert cut.version == 2
    assert cut.vm.view.targets["t1"].draining
    assert cut.vm.freshness.is_fresh


# Guards against a relayed request leaving its two VMs at different configurations.
def test_vm_that_catches_up_has_the_change_at_once(fleet, clock, store):
    ahead, behind = [each for each in fleet if not each.follower.watching][:2]
    revision = store.put("config", b"2", "").unwrap()
    event = WatchEvent("config", b"2", revision)
    ahead.vm.cache.apply([event], at(revision))
    behind.follower.catch_up(ahead.vm.name)
    run(clock, STEP_S * 2)
    assert behind.version == 2
    behind.follower.catch_up("vm-that-is-gone")


def test_lost_watcher_is_replaced(fleet, clock, store):
    lost = watching(fleet)[0]
    lost.store.unavailable = True
    lost.vm.channel.network.cut.add(lost.vm.address)
    run(clock, 3.0)
    store.put("config", b"2", "")
    run(clock, 1.0)
    others = [each for each in fleet if each is not lost]
    assert [each.version for each in others] == [2] * 4
    assert all(each.vm.freshness.is_fresh for each in others)


def test_change_is_applied_in_time_when_the_watcher_hangs(fleet, clock, store):
    lost = watching(fleet)[0]
    # Worst case: events end two watches in a row, so that the last proof is as new as
    # possible when the change falls into the pause before the next watch.
    store.put("targets/t1", msgspec.json.encode(entry_target()), "")
    run(clock, WATCH_PAUSE_S + STEP_S)
    store.put("targets/t2", msgspec.json.encode(entry_target("t2")), "")
    run(clock, STEP_S)
    lost.store.hang_s = WATCH_TIMEOUT_S + 0.8
    store.put("config", b"2", "")
    run(clock, CONFIG_APPLY_S - 0.1)
    others = [each for each in fleet if each is not lost]
    assert [each.version for each in others] == [2] * 4


def test_proof_is_lost_while_no_vm_reaches_the_store_and_returns_with_it(fleet, clock):
    for each in fleet:
        each.store.unavailable = True
    run(clock, SETTLE_S)
    assert not any(each.vm.freshness.is_fresh for each in fleet)
    for each in fleet:
        each.store.unavailable = False
    run(clock, 3.0)
    assert all(each.vm.freshness.is_fresh for each in fleet)
    assert ("reachable", "answers again") in [
        line for each in fleet for line in decisions(each.vm.log, "store")
    ]


def test_compacted_history_leads_to_a_listing(fleet, clock, store):
    watcher = watching(fleet)[0]
    store.put("targets/t1", msgspec.json.encode(entry_target()), "")
    run(clock, 1.0)
    watcher.store.compacted = True
    store.delete_if("targets/t1", store.get("targets/t1").ok_value.revision)
    run(clock, 1.5)
    assert all(each.vm.view.targets == {} for each in fleet)


def test_watch_calls_do_not_grow_with_the_fleet(fleet, clock):
    before = sum(each.store.watch_count for each in fleet)
    run(clock, 10.0)
    assert sum(each.store.watch_count for each in fleet) - before <= 2 * 10


@pytest.mark.parametrize("watches", [False, True])
def test_paused_vm_gets_a_new_proof_at_once_on_demand(fleet, clock, watches):
    paused = next(each for each in fleet if each.follower.watching is watches)
    freshness = paused.vm.freshness
    clock.suspend(60.0)
    others = [each for each in fleet if each is not paused]
    for each in others:
        # Only one VM was paused.
        each.vm.freshness.record_proof(clock.boot(), "store")
    waiting = gevent.spawn(freshness.await_proof, 0.2)
    run(clock, STEP_S * 2)
    assert waiting.get(block=False)


def test_new_watcher_gets_its_first_proof_without_a_long_poll(fleet, clock):
    lost = watching(fleet)[0]
    lost.store.unavailable = True
    lost.vm.channel.network.cut.add(lost.vm.address)
    others = [each for each in fleet if each is not lost]
    while not (taking_over := watching(others)):
        run(clock, STEP_S)
    run(clock, STEP_S)
    assert taking_over[0].vm.freshness.age_s < WATCH_TIMEOUT_S / 2


def test_stopping_watcher_hands_over_at_once(fleet, clock):
    leaving = watching(fleet)[0]
    leaving.follower.hand_over_watch()
    run(clock, 0.6)
    leaving.follower.stop()
    leaving.vm.channel.network.cut.add(leaving.vm.address)
    others = [each for each in fleet if each is not leaving]
    assert watching(others)
    run(clock, SETTLE_S)
    assert len(watching(others)) == 1


# Guards against requests to targets that have left, as a daemon whose waiting watch was
# closed took that for an outage of the store, and called it again only later.
def test_removal_is_followed_in_time_while_waiting_watches_are_closed(
    fleet, clock, store
):
    store.put("targets/t1", msgspec.json.encode(entry_target()), "")
    run(clock, SETTLE_S)
    for each in fleet:
        each.store.closes_waiting = True
    run(clock, 0.5)
    store.delete_if("targets/t1", store.get("targets/t1").ok_value.revision)
    counts = [each.store.watch_count for each in fleet]
    for _ in range(round((DRAIN_S - 0.5) / STEP_S)):
        run(clock, STEP_S)
        for each in fleet:
            each.vm.view.drop_missing()
    assert all(each.vm.view.targets == {} for each in fleet)
    calls = sum(each.store.watch_count for each in fleet) - sum(counts)
    assert calls <= 6 * DRAIN_S
    assert all(each.vm.freshness.is_fresh for each in fleet)


# Guards against a call of an outage that fails after it, and makes it look longer.
def test_target_removed_after_an_outage_is_dropped_in_time(fleet, clock, store):
    store.put("targets/t1", msgspec.json.encode(entry_target()), "")
    run(clock, SETTLE_S)
    for each in fleet:
        each.store.hang_s = 2.0
    run(clock, 4.5)
    for each in fleet:
        each.store.hang_s = 0.0
    run(clock, 3.05)
    store.delete_if("targets/t1", store.get("targets/t1").ok_value.revision)
    for _ in range(round((DRAIN_S - 0.1) / STEP_S)):
        run(clock, STEP_S)
        for each in fleet:
            each.vm.view.drop_missing()
    assert all(each.vm.view.targets == {} for each in fleet)


# Guards against requests to targets that have left, as open connections to the store
# fell silent and that was taken for its outage, in which leases lapse.
@pytest.mark.parametrize("leaves_after_s", [0.8, 1.1, 1.4])
@pytest.mark.parametrize("wait_s", [0.0, 0.2, 0.4, 0.6, 0.8, 1.0])
@pytest.mark.parametrize("domains", [("zone-a",) * 3, ("zone-a", "zone-b", "zone-c")])
def test_removal_is_followed_in_time_after_connections_fell_silent(
    clock, store, domains, wait_s, leaves_after_s
):
    with following(clock, store, domains, LongestWaits()) as fleet:
        store.put("targets/t1", msgspec.json.encode(entry_target()), "")
        run(clock, wait_s + 0.1)
        for each in fleet:
            each.store.is_silent = True
        for _ in range(round(leaves_after_s / 0.2)):
            store.put("targets/t2", msgspec.json.encode(entry_target("t2")), "")
            run(clock, 0.2)
        store.delete_if("targets/t1", store.get("targets/t1").ok_value.revision)
        for _ in range(round((DRAIN_S - 0.1) / STEP_S)):
            run(clock, STEP_S)
            for each in fleet:
                each.vm.view.drop_missing()
        assert all("t1" not in each.vm.view.targets for each in fleet)
        assert all(each.vm.freshness.is_fresh for each in fleet)


# Guards against a VM that follows a watcher which the store no longer answers, and
# learns of a change only when its proof is too old.
@pytest.mark.parametrize("answer", ["hangs", "refuses"])
@pytest.mark.parametrize("domains", [("zone-a",) * 2, ("zone-a", "zone-b")])
@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.3, 0.5, 0.7, 1.0, 1.3])
def test_change_is_followed_in_time_while_the_watcher_is_cut_off(
    clock, store, domains, answer, delay_s
):
    with following(clock, store, domains, LongestWaits()) as fleet:
        cut = watching(fleet)[0]
        other = next(each for each in fleet if each is not cut)
        # The second watch returns at once, so that the proofs are as new as possible.
        for name in ("t1", "t2"):
            store.put(f"targets/{name}", msgspec.json.encode(entry_target(name)), "")
            run(clock, WATCH_PAUSE_S / 2)
        run(clock, STEP_S + delay_s)
        cut.store.hang_s = WATCH_TIMEOUT_S + 0.8 if answer == "hangs" else 0.0
        cut.store.unavailable = answer == "refuses"
        store.put("config", b"2", "")
        run(clock, CONFIG_APPLY_S - 0.1)
        assert other.version == 2
        assert cut.version == 2


# Guards against a slow store that all followers of a watcher call as well.
def test_slow_store_is_not_called_by_all_followers(fleet, clock):
    delay_s = 0.4
    for each in fleet:
        each.store.delay_s = delay_s
    run(clock, SETTLE_S)
    before = sum(each.store.watch_count for each in fleet)
    run(clock, 10.0)
    calls = sum(each.store.watch_count for each in fleet) - before
    calls_of_a_watcher = 10.0 / (WATCH_TIMEOUT_S + delay_s)
    assert calls <= 3 * calls_of_a_watcher


# Guards against messages that grow with the square of a domain, as each daemon that
# fails to become the watcher asks all others to take over.
def test_only_watchers_ask_for_a_takeover_in_an_outage(fleet, clock):
    for each in fleet:
        each.store.unavailable = True
    run(clock, 10.0)
    asked = [
        message
        for each in fleet
        for _, message in each.vm.channel.sent
        if isinstance(message, WatcherNotice) and message.leaving
    ]
    assert len(asked) == len(fleet) - 1


@contextmanager
def fleet_without_a_removal(clock, store, key, value):
    """Yield a VM that missed the removal of `key`, and one that started after it."""
    store.put(key, value, "")
    network = Network()
    vms = [Vm(f"vm-{number}", number, network, clock) for number in (1, 2)]
    for vm in vms:
        store.put(f"members/{vm.name}", vm.member.encode(), "")
    behind, restarted = [FollowingVm(vm, store) for vm in vms]
    network.cut.add(behind.vm.address)
    behind.follower.start()
    run(clock, 1.0)
    behind.store.unavailable = True
    # Changes before and after the removal, so that its revision lies between others.
    store.put("targets/t8", msgspec.json.encode(entry_target("t8")), "")
    store.delete_if(key, store.get(key).ok_value.revision)
    store.put("targets/t9", msgspec.json.encode(entry_target("t9")), "")
    restarted.follower.start()
    run(clock, 1.0)
    yield behind, restarted
    behind.follower.stop()
    restarted.follower.stop()


# Guards against requests to a target that has left, and against members that are kept
# for good: a VM that has just started does not know what was removed before.
@pytest.mark.parametrize(
    "key, value",
    [
        ("targets/t1", msgspec.json.encode(entry_target("t1"))),
        ("members/vm-7", Member("10.0.0.7:7000", "zone-a").encode()),
        ("evacuate/zone-b", b"{}"),
    ],
)
def test_vm_behind_gets_a_removal_from_a_vm_that_started_after_it(
    clock, store, key, value
):
    with fleet_without_a_removal(clock, store, key, value) as (behind, restarted):
        assert key in {event.key for event in behind.vm.cache.all_entries()}
        behind.vm.channel.network.cut.clear()
        behind.follower.catch_up(restarted.vm.name)
        run(clock, 1.0)
        keys = {event.key for event in behind.vm.cache.all_entries()}
        assert keys == {event.key for event in restarted.vm.cache.all_entries()}
        assert "targets/t9" in keys
        assert key not in keys
        assert behind.vm.freshness.is_fresh


# Guards against an older build that takes all keys for changes and keeps the others.
def test_peer_of_an_older_build_gets_no_incomplete_changes(clock, store):
    value = msgspec.json.encode(entry_target("t1"))
    with fleet_without_a_removal(clock, store, "targets/t1", value) as (_, restarted):
        later = restarted.vm.cache.position.revision
        for revision in range(1, later):
            older = restarted.follower.changes_for(ChangesRequest(1, revision))
            assert (older.complete, older.is_listing, older.events) == (
                False,
                False,
                (),
            )
            newer = restarted.follower.changes_for(
                ChangesRequest(1, revision, seen_until=revision)
            )
            assert (newer.complete, newer.is_listing) == (True, True)
        assert restarted.follower.changes_for(ChangesRequest(1, later)).complete
