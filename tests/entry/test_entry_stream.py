"""Tests of transferring changes over TCP."""

import pytest
from path_helper import raw_target

from lacewingpond.entry.follower import LOST_PEER_AGE_S, TAKEOVER_SPREAD_S
from lacewingpond.entry.peers.messages import ChangesRequest, ChangesResponse
from lacewingpond.entry.peers.stream import (
    STREAM_TIMEOUT_S,
    ChangesServer,
    fetch_changes,
)
from lacewingpond.store.base import WatchEvent
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog


def test_changes_larger_than_a_datagram_arrive_complete():
    events = tuple(WatchEvent(f"k{n}", b"v" * 1000, n) for n in range(200))
    changes = ChangesResponse(0, 200, 0.1, True, True, events)
    server = ChangesServer(
        "127.0.0.1", 0, lambda request: changes, RecordingDecisionLog()
    )
    server.start()
    address = f"127.0.0.1:{server._server.server_port}"
    assert fetch_changes(address, ChangesRequest(0, 1)) == changes
    server.stop()


def test_peer_that_accepts_but_does_not_respond_times_out():
    def never_respond(sock):
        sock.recv(1000)
        sock.recv(1)

    with raw_target(never_respond) as peer, pytest.raises(OSError, match="timed out"):
        fetch_changes(peer.address, ChangesRequest(0, 1))


def test_takeover_after_a_hung_connect_and_read_fits_into_a_drain_notice():
    # Connecting and reading may hang one after the other; a drain notice lasts 2 s.
    assert 2 * STREAM_TIMEOUT_S + LOST_PEER_AGE_S + TAKEOVER_SPREAD_S <= 2.0
