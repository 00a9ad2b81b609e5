"""Tests of news over a stream."""

import pytest
from path_helper import raw_target

from lacewingpond.entry.follower import LOST_SOURCE_S, TAKE_OVER_SPREAD_S
from lacewingpond.entry.peers.messages import News, NewsAsk
from lacewingpond.entry.peers.stream import (
    STREAM_TIMEOUT_S,
    NewsServer,
    fetch_news,
)
from lacewingpond.store.base import WatchEvent
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog


def test_long_news_pass_whole():
    events = tuple(WatchEvent(f"k{n}", b"v" * 1000, n) for n in range(200))
    news = News(0, 200, 0.1, True, True, events)
    server = NewsServer("127.0.0.1", 0, lambda ask: news, RecordingDecisionLog())
    server.start()
    address = f"127.0.0.1:{server._server.server_port}"
    assert fetch_news(address, NewsAsk(0, 1)) == news
    server.stop()


def test_peer_that_accepts_and_says_nothing_is_given_up():
    def keep_silent(sock):
        sock.recv(1000)
        sock.recv(1)

    with raw_target(keep_silent) as peer, pytest.raises(OSError, match="timed out"):
        fetch_news(peer.address, NewsAsk(0, 1))


def test_two_steps_that_hang_leave_time_to_take_over():
    # Connecting and reading may hang one after the other; drain notices take 2 s.
    assert 2 * STREAM_TIMEOUT_S + LOST_SOURCE_S + TAKE_OVER_SPREAD_S <= 2.0
