"""Tests of requests that crash targets, over several VMs."""

from entry_helper import Network, Vm

from lacewingpond.entry.requests.quarantine import KEEP_S, Quarantine
from lacewingpond.store.base import WatchEvent


def fleet_of(clock, domains):
    network = Network()
    vms = [Vm(f"vm-{n}", n, network, clock, d) for n, d in enumerate(domains, 1)]
    members = [
        WatchEvent(f"members/{vm.name}", vm.member.encode(), n)
        for n, vm in enumerate(vms, 1)
    ]
    for vm in vms:
        vm.catalog.apply(members, len(vms))
    return [Quarantine(vm.fleet, vm.channel, clock, vm.log) for vm in vms]


def test_three_crashes_anywhere_stop_a_request_everywhere(clock):
    fleet = fleet_of(clock, ["a", "a", "b", "b", "c"])
    for number in (0, 2, 4):
        assert not fleet[1].is_stopped("poison")
        fleet[number].note_crash("poison")
    assert all(each.is_stopped("poison") for each in fleet)
    assert not any(each.is_stopped("other") for each in fleet)


def test_one_answer_clears_a_request_that_many_send_alike(clock):
    fleet = fleet_of(clock, ["a", "a", "b"])
    for number in range(3):
        fleet[number].note_crash("popular")
    fleet[2].note_answer("popular")
    assert not any(each.is_stopped("popular") for each in fleet)


def test_crashes_long_ago_do_not_count(clock):
    fleet = fleet_of(clock, ["a"])
    fleet[0].note_crash("poison")
    fleet[0].note_crash("poison")
    clock.advance(KEEP_S + 1.0)
    fleet[0].note_crash("poison")
    assert not fleet[0].is_stopped("poison")


def test_streamed_request_without_a_fingerprint_is_never_stopped(clock):
    fleet = fleet_of(clock, ["a"])
    for _ in range(5):
        fleet[0].note_crash("")
    assert not fleet[0].is_stopped("")
