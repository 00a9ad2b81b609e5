"""Tests of the peer channel over real sockets on loopback."""

import contextlib
import random

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from msgspec import Struct
from result import Err, Ok

from lacewingpond.peers.addresses import FixedAddresses
from lacewingpond.peers.base import Message, PeerFailure
from lacewingpond.peers.frames import Frame, FrameKind, encode
from lacewingpond.peers.handshake import Handshake
from lacewingpond.peers.options import PeerOptions
from lacewingpond.peers.tcp import TcpPeerChannel
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import RuntimeClock

SECRET = b"fleet secret"
OPTIONS = PeerOptions(max_frame_bytes=10_000, handshake_timeout_s=1.0)


class TcpEcho(Message):
    text: str
    blob: bytes = b""


class Fleet(Struct):
    channels: dict[str, TcpPeerChannel]
    logs: dict[str, RecordingDecisionLog]
    addresses: dict[str, str]

    def add(self, vm_id, secret=SECRET, options=OPTIONS, clock=None):
        log = RecordingDecisionLog()
        channel = TcpPeerChannel.from_options(
            options,
            vm_id,
            "1",
            secret,
            FixedAddresses(self.addresses),
            clock or RuntimeClock(),
            random.Random(1),
            log,
            CountingMetrics(),
        )
        channel.start()
        self.channels[vm_id] = channel
        self.logs[vm_id] = log
        self.addresses[vm_id] = f"127.0.0.1:{channel.port}"
        return channel


@pytest.fixture
def fleet():
    fleet = Fleet({}, {}, {})
    yield fleet
    for channel in fleet.channels.values():
        channel.stop()


def echo(sender, message):
    return TcpEcho(f"{sender}:{message.text}", message.blob)


def dial(fleet, vm_id, sender="b"):
    host, port = fleet.addresses[vm_id].split(":")
    sock = socket.create_connection((host, int(port)))
    Handshake(sender, "1", SECRET, 1.0).dial(sock, vm_id)
    return sock


def wait_for_lines(log, count=1):
    with gevent.Timeout(5):
        while len(log.lines) < count:
            gevent.sleep(0.005)
    return log.lines


def wait_closed(sock):
    sock.settimeout(5)
    with contextlib.suppress(ConnectionError):
        while sock.recv(1000):
            pass


def test_concurrent_calls_get_their_own_responses(fleet):
    def delay_odd(sender, message):
        gevent.sleep(0.05 if int(message.text) % 2 else 0)
        return echo(sender, message)

    a = fleet.add("a")
    fleet.add("b").register(TcpEcho, delay_odd)
    calls = [
        gevent.spawn(a.call, "b", TcpEcho(str(n), bytes([n])), 5.0) for n in range(50)
    ]
    responses = [call.get() for call in calls]
    assert responses == [Ok(TcpEcho(f"a:{n}", bytes([n]))) for n in range(50)]
    assert a.message_counts.by_kind["TcpEcho"].sent == 50
    assert a.message_counts.by_kind["TcpEcho"].received == 50


def test_call_to_an_unreachable_or_unknown_vm_is_not_sent(fleet):
    a = fleet.add("a")
    fleet.addresses["refusing"] = "127.0.0.1:1"
    result = a.call("refusing", TcpEcho("x"), 5.0)
    assert result.unwrap_err().failure is PeerFailure.NOT_SENT
    result = a.call("unknown", TcpEcho("x"), 5.0)
    assert result.unwrap_err().failure is PeerFailure.NOT_SENT


def test_call_that_times_out_is_unknown_and_its_late_answer_is_dropped(fleet):
    release = Event()

    def hold(sender, message):
        if message.text == "held":
            release.wait(5)
        return echo(sender, message)

    a = fleet.add("a")
    fleet.add("b").register(TcpEcho, hold)
    result = a.call("b", TcpEcho("held"), 0.1)
    assert result.unwrap_err().failure is PeerFailure.UNKNOWN
    release.set()
    assert a.call("b", TcpEcho("next"), 5.0) == Ok(TcpEcho("a:next"))


def test_call_is_unknown_when_the_peer_stops_during_it(fleet):
    a = fleet.add("a")
    b = fleet.add("b")
    arrived = Event()

    def never(sender, message):
        arrived.set()
        gevent.sleep(10)

    b.register(TcpEcho, never)
    call = gevent.spawn(a.call, "b", TcpEcho("x"), 5.0)
    arrived.wait(5)
    b.stop()
    assert call.get().unwrap_err().failure is PeerFailure.UNKNOWN


def test_connection_with_a_wrong_secret_is_refused(fleet):
    a = fleet.add("a", secret=b"another")
    fleet.add("b").register(TcpEcho, echo)
    error = a.call("b", TcpEcho("x"), 5.0).unwrap_err()
    assert error.failure is PeerFailure.NOT_SENT
    line = wait_for_lines(fleet.logs["b"])[0]
    assert line[2] == "handshake failed: wrong fleet secret"


def test_call_that_reaches_another_vm_than_intended_is_not_sent(fleet):
    a = fleet.add("a")
    fleet.add("b").register(TcpEcho, echo)
    fleet.addresses["c"] = fleet.addresses["b"]
    error = a.call("c", TcpEcho("x"), 5.0).unwrap_err()
    assert error.failure is PeerFailure.NOT_SENT


@pytest.mark.parametrize(
    "data",
    [
        b"\xc1" * 100,
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xdd\xff\xff\xff\xff",
        b"\x91" * 5_000,
        b"\xc6\x00\x00\x00\x05\xdd\xff\xff\xff\xff",
        b"\xc6\x00\x00\x13\x88" + b"\x91" * 5_000,
        b"\xc6\x00\x00\x00\x00",
        b"\xc6\x00\x10\x00\x00" + b"x" * 200_000,
        encode(Frame(FrameKind.RESPONSE, 1, None)),
        encode(Frame(FrameKind.CALL, 1, "no message")),
    ],
)
def test_malformed_data_closes_only_its_own_connection_with_one_log_line(fleet, data):
    a = fleet.add("a")
    fleet.add("b").register(TcpEcho, echo)
    assert isinstance(a.call("b", TcpEcho("before"), 5.0), Ok)
    sock = dial(fleet, "b", sender="rogue")
    with contextlib.suppress(ConnectionError):
        sock.sendall(data)
    wait_closed(sock)
    wait_for_lines(fleet.logs["b"])
    assert isinstance(a.call("b", TcpEcho("after"), 5.0), Ok)
    lines = fleet.logs["b"].lines
    assert [line[:2] for line in lines] == [("peer-closed", "rogue")]


@pytest.mark.parametrize("data", [b"\xc1" * 10, b"\xdd\x00\xff\xff\xff", b"\xc6" * 9])
def test_malformed_data_before_the_handshake_closes_the_connection(fleet, data):
    b = fleet.add("b")
    b.register(TcpEcho, echo)
    sock = socket.create_connection(("127.0.0.1", b.port))
    sock.sendall(data + b"\x00" * 1_000)
    wait_closed(sock)
    lines = wait_for_lines(fleet.logs["b"])
    assert [line[0] for line in lines] == ["peer-closed"]


def test_failed_handler_is_logged_and_answered_with_an_error(fleet):
    def fail(sender, message):
        raise KeyError("oops")

    a = fleet.add("a")
    fleet.add("b").register(TcpEcho, fail)
    error = a.call("b", TcpEcho("x"), 5.0).unwrap_err()
    assert error.detail == "handler failed: KeyError"
    assert fleet.logs["b"].lines[0][0] == "peer-handler-failed"


def test_oversized_message_is_not_sent_and_leaves_the_connection_open(fleet):
    a = fleet.add("a")
    fleet.add("b").register(TcpEcho, echo)
    error = a.call("b", TcpEcho("x", bytes(20_000)), 5.0).unwrap_err()
    assert error.failure is PeerFailure.NOT_SENT
    assert isinstance(a.call("b", TcpEcho("x"), 5.0), Ok)


def test_full_queue_drops_one_way_messages(fleet, clock):
    options = PeerOptions(send_queue_messages=3)
    a = fleet.add("a", options=options, clock=clock)
    fleet.add("b", clock=clock)
    assert [a.send("b", TcpEcho(str(n))) for n in range(5)] == [True] * 3 + [False] * 2


def test_silent_connection_is_replaced(fleet, clock):
    a = fleet.add("a", clock=clock)
    release = Event()

    def hold(sender, message):
        release.wait()
        return echo(sender, message)

    fleet.add("b").register(TcpEcho, hold)
    call = gevent.spawn(a.call, "b", TcpEcho("x"), 1.0)
    gevent.sleep(0.05)
    clock.advance(2.0)
    assert isinstance(call.get(), Err)
    release.set()
    again = gevent.spawn(a.call, "b", TcpEcho("y"), 1.0)
    assert again.get() == Ok(TcpEcho("a:y"))
    clock.advance(0.1)
    assert ("peer-closed", "b", "silent") in [
        line[:3] for line in fleet.logs["a"].lines
    ]


def test_idle_connection_is_closed_and_reopened_on_demand(fleet, clock):
    a = fleet.add("a", clock=clock)
    fleet.add("b").register(TcpEcho, echo)
    assert isinstance(a.call("b", TcpEcho("x"), 5.0), Ok)
    clock.advance(61.0)
    assert [line[:3] for line in fleet.logs["a"].lines] == [
        ("peer-closed", "b", "idle")
    ]
    assert isinstance(a.call("b", TcpEcho("x"), 5.0), Ok)


@pytest.mark.parametrize(
    "options, calls",
    [
        (PeerOptions(write_timeout_s=0.5), 10),
        (PeerOptions(max_unsent_answer_bytes=10_000_000), 100),
    ],
)
def test_peer_that_never_reads_is_disconnected_without_blocking_others(
    fleet, options, calls
):
    a = fleet.add("a")
    fleet.add("b", options=options).register(TcpEcho, echo)
    sock = dial(fleet, "b", sender="stalled")
    with contextlib.suppress(ConnectionError):
        for number in range(calls):
            call = Frame(FrameKind.CALL, number, TcpEcho("x", bytes(700_000)))
            sock.sendall(encode(call))
    assert isinstance(a.call("b", TcpEcho("x"), 5.0), Ok)
    line = wait_for_lines(fleet.logs["b"])[0]
    reasons = (
        "the peer does not read its responses",
        "a response could not be written",
    )
    assert line[:2] == ("peer-closed", "stalled")
    assert line[2] in reasons
