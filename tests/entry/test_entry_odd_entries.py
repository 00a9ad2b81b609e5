"""Tests of entries that another writer has left among those of targets."""

from contextlib import contextmanager

import msgspec
import pytest
from entry_helper import FORMATS, Network, Vm, at, config
from path_helper import CLOCK, caller_server
from stack_helper import Stack, running, signed

from lacewingpond.entry.limits.named_limits import NamedLimits
from lacewingpond.entry.peers.messages import decode, encode
from lacewingpond.platform.formats import FORMATS as PLATFORM_FORMATS
from lacewingpond.store.base import WatchEvent

HUGE = b"9" * 401
NESTED = b'{"more":' + b"[" * 30_000 + b"]" * 30_000 + b"}"


def entry(address, **changes):
    fields = {"service": "svc", "address": address, "zone": "zone-a", "slots": 6}
    return msgspec.json.encode({**fields, "state": "ready", "born": 5, **changes})


def odd_entries(address):
    sound = entry(address)
    return {
        "slots-401": sound.replace(b'"slots":6', b'"slots":' + HUGE),
        "slots-20": sound.replace(b'"slots":6', b'"slots":' + b"9" * 20),
        "slots-19": sound.replace(b'"slots":6', b'"slots":' + b"9" * 19),
        "born-401": sound.replace(b'"born":5', b'"born":' + HUGE),
        "born-negative": sound.replace(b'"born":5', b'"born":-5'),
        "nested": NESTED,
        "port-99999": entry("127.0.0.1:99999"),
        "port-0": entry("127.0.0.1:0"),
        "no-zone": entry(address, zone=""),
        "bytes": b"\xff\x00",
    }


@contextmanager
def platform_stack():
    """Run a stack that decodes entries of targets as the platform writes them."""
    with running(Stack(config())) as stack, caller_server(signed) as server:
        view = stack.vm.view
        view._formats = msgspec.structs.replace(
            view._formats, decode_instance=PLATFORM_FORMATS.decode_instance
        )
        yield stack, f"127.0.0.1:{server.port}"


# Guards against a service that serves nothing while one of its entries is odd.
@pytest.mark.parametrize("name", odd_entries(""))
def test_odd_entry_names_no_target_and_the_others_hold(name):
    with platform_stack() as (stack, address):
        odd = odd_entries("127.0.0.1:1")[name]
        stack.put("targets/odd", odd)
        stack.put("targets/t0", entry(address))
        assert [stack.call(X_Id=f"id-{n}")[0] for n in range(20)] == [200] * 20
        assert set(stack.vm.view.targets) == {"t0"}
        # A target that is added later, and the odd one once its entry is sound.
        stack.put("targets/t1", entry(address))
        stack.put("targets/odd", entry(address))
        assert set(stack.vm.view.targets) == {"t0", "t1", "odd"}
        stack.put("targets/odd", odd)
        assert set(stack.vm.view.targets) == {"t0", "t1"}


def test_odd_id_names_no_target():
    with platform_stack() as (stack, address):
        stack.put("targets/i\r\nX: 1", entry(address))
        stack.put("targets/t0", entry(address))
        assert [stack.call(X_Id=f"id-{n}")[0] for n in range(10)] == [200] * 10


# Guards against a log line for each heartbeat of an entry that can't be decoded.
def test_unreadable_entry_is_logged_once():
    with platform_stack() as (stack, address):
        for number in range(5):
            stack.put("targets/odd", NESTED + b" " * number)
        stack.put("targets/odd", entry(address))
        stack.put("targets/odd", NESTED)
    whys = [line[2] for line in stack.vm.log.lines if line[:2] == ("target", "odd")]
    unreadable = [why for why in whys if why.startswith("unreadable entry")]
    assert len(unreadable) == 2
    assert all(len(why) < 300 for why in whys)


# Guards against incarnations that no message between daemons can hold.
def test_messages_hold_the_largest_incarnation(clock):
    target = PLATFORM_FORMATS.decode_instance(
        "t1", entry("127.0.0.1:9", born=2**63 - 1)
    ).unwrap()
    vm = Vm("vm-1", 1, Network(), clock)
    limits = NamedLimits(vm.fleet, vm.channel, clock, vm.log)
    limits.observe(target, 2.0, CLOCK.now())
    sent = [encode(message) for _, message in vm.channel.sent]
    assert all(decode(each) is not None for each in sent)


def test_nested_or_huge_configuration_keeps_the_last_one():
    vm = Vm("vm-1", 1, Network(), CLOCK)
    vm.cache.apply([WatchEvent("config", b"2", 1)], at(1))
    vm.view._formats = msgspec.structs.replace(
        FORMATS, decode_config=PLATFORM_FORMATS.decode_config
    )
    for revision, raw in enumerate((NESTED, b'{"version":' + HUGE + b"}"), 2):
        vm.cache.apply([WatchEvent("config", raw, revision)], at(revision))
    assert vm.view.config.version == 2
