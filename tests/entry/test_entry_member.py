"""Tests of what another writer may leave in place of a daemon's entry or header."""

import pytest
from entry_helper import Network, Vm, at
from path_helper import CLOCK

from lacewingpond.entry.member import decode_member
from lacewingpond.entry.relay.headers import parse_target
from lacewingpond.store.base import WatchEvent

HUGE = b"9" * 401
NESTED = b'{"more":' + b"[" * 30_000 + b"]" * 30_000 + b"}"


# Guards against a follower that ends at an odd entry below the prefix of members.
@pytest.mark.parametrize(
    "raw",
    [
        NESTED,
        b'{"address":"127.0.0.1:1","failure_domain":"z","speaks":' + HUGE + b"}",
        b'{"address":"127.0.0.1:1","failure_domain":"z","speaks":-1}',
        b'{"address":"127.0.0.1:99999","failure_domain":"z"}',
        b'{"address":"' + b"a" * 10_000 + b'","failure_domain":"z"}',
        b"\xff",
    ],
    ids=range(6),
)
def test_odd_entry_of_a_daemon_is_an_error_with_a_short_reason(raw):
    assert len(decode_member(raw).unwrap_err()) <= 200
    vm = Vm("vm-1", 1, Network(), CLOCK)
    vm.cache.apply([WatchEvent("members/vm-1", vm.member.encode(), 1)], at(1))
    vm.cache.apply([WatchEvent("members/odd", raw, 2)], at(2))
    vm.cache.apply([WatchEvent("config", b"2", 3)], at(3))
    assert set(vm.view.members) == {"vm-1"}
    assert vm.view.config.version == 2


# Guards against a response of a carrier that ends its request with an error.
def test_incarnation_with_too_many_digits_names_no_target():
    assert parse_target("9" * 5_000 + ";t1") is None
    assert parse_target("-5;t1") == ("t1", -5)
