"""Tests of the store client against a fake HTTP server."""

import base64
import socket
from urllib.parse import parse_qs, urlsplit

import gevent
import msgspec
import pytest
from path_helper import caller_server, raw_target, read_head

from lacewingpond.entry.follower import MAX_RETRY_S, WATCH_TIMEOUT_S
from lacewingpond.entry.freshness import MAX_PROOF_AGE_RATIO
from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.platform import store as module
from lacewingpond.platform.store import PlatformStore
from lacewingpond.store.base import NO_ERA, StoreFailure


def b64(data):
    return base64.b64encode(data).decode()


class FakeStoreServer:
    """Responds with the status and body that a table gives for each path."""

    def __init__(self, **responses):
        self.responses = responses
        self.requests = []

    def handle(self, req):
        parts = urlsplit(req.path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        body = b"".join(req.body)
        self.requests.append((req.method, parts.path, query, body))
        name = parts.path.split("/")[2].replace("-", "_")
        status, document, *era = self.responses[name](query)
        headers = Headers(tuple(("Store-Era", each) for each in era))
        return Response(status, headers, msgspec.json.encode(document))


@pytest.fixture
def serve():
    contexts = []

    def start(**responses):
        fake = FakeStoreServer(**responses)
        context = caller_server(fake.handle)
        server = context.__enter__()
        contexts.append(context)
        return PlatformStore("127.0.0.1", server.port), fake

    yield start
    for context in contexts:
        context.__exit__(None, None, None)


def item(key, value, revision):
    return {"key": key, "value": b64(value), "revision": revision, "lease": 0}


def test_listing_reads_all_pages_and_keeps_the_first_revision(serve):
    pages = {
        None: {"items": [item("a", b"1", 3)], "more-pages": True, "current-rev": 9},
        "a": {"items": [item("b", b"2", 4)], "more-pages": False, "current-rev": 12},
    }
    store, _ = serve(kv_range=lambda query: (200, pages[query.get("after")]))
    listing = store.listing("").unwrap()
    assert [(e.key, e.value, e.revision) for e in listing.entries] == [
        ("a", b"1", 3),
        ("b", b"2", 4),
    ]
    assert listing.revision == 9


def test_watch_returns_changes_and_removals(serve):
    events = [item("a", b"1", 5), {"key": "b", "revision": 6, "deleted": True}]
    document = {"events": events, "current-rev": 7}
    store, server = serve(kv_watch=lambda query: (200, document))
    batch = store.watch("", 4, 1.5).unwrap()
    assert [(e.key, e.value) for e in batch.events] == [("a", b"1"), ("b", None)]
    assert batch.revision == 7
    assert server.requests[0][2] == {"after": "4", "wait-ms": "1500"}


def test_entry_is_written_under_a_lease_that_is_renewed_and_ended(serve):
    store, server = serve(
        kv_lease=lambda query: (200, {"lease": 77, "ttl_time": "120000ms"}),
        kv_txn=lambda query: (200, {"revision": 8}),
        kv_keep=lambda query: (200, {"ttl_time": "120000ms"}),
        kv_lease_end=lambda query: (200, {}),
    )
    lease = store.grant_lease(120.0).unwrap()
    assert store.put("fleet/vm-1", b"me", lease).unwrap() == 8
    assert store.keep_alive(lease).is_ok()
    change = msgspec.json.decode(server.requests[1][3])
    assert change["puts"] == [{"key": "fleet/vm-1", "value": b64(b"me"), "lease": 77}]
    assert server.requests[2][1] == "/api/kv-keep/77"
    assert store.end_lease(lease).is_ok()
    assert server.requests[3][:2] == ("DELETE", "/api/kv-lease-end/77")


@pytest.mark.parametrize(
    ("status", "failure"),
    [
        (410, StoreFailure.COMPACTED),
        (429, StoreFailure.THROTTLED),
        (503, StoreFailure.UNAVAILABLE),
        (500, StoreFailure.UNAVAILABLE),
    ],
)
def test_error_status_of_a_watch_gives_its_failure(serve, status, failure):
    store, _ = serve(kv_watch=lambda query: (status, {}))
    assert store.watch("", 1, 0.1).unwrap_err().failure is failure


def test_renewal_of_a_lapsed_lease_is_a_conflict(serve):
    store, _ = serve(kv_keep=lambda query: (404, {}))
    error = store.keep_alive("5").unwrap_err()
    assert error.failure is StoreFailure.CONFLICT


def test_malformed_response_is_an_error(serve):
    store, _ = serve(kv_watch=lambda query: (200, {"events": "none"}))
    assert store.watch("", 1, 0.1).is_err()


def test_lost_response_to_a_write_leaves_its_effect_unknown():
    with raw_target(lambda sock: (read_head(sock), sock.close())) as target:
        port = int(target.address.rpartition(":")[2])
        error = PlatformStore("127.0.0.1", port).grant_lease(5.0).unwrap_err()
    assert error.failure is StoreFailure.UNKNOWN


# Guards against a waiting watch that was closed and counts as an outage of the store.
def test_closed_watch_is_told_from_a_store_that_is_away():
    with raw_target(lambda sock: (read_head(sock), sock.close())) as target:
        port = int(target.address.rpartition(":")[2])
        error = PlatformStore("127.0.0.1", port).watch("", 1, 0.5).unwrap_err()
    assert error.failure is StoreFailure.DISCONNECTED
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        store = PlatformStore("127.0.0.1", unused.getsockname()[1])
        error = store.watch("", 1, 0.5).unwrap_err()
    assert error.failure is StoreFailure.UNAVAILABLE


def test_write_that_was_not_sent_had_no_effect():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        store = PlatformStore("127.0.0.1", unused.getsockname()[1])
        error = store.grant_lease(5.0).unwrap_err()
    assert error.failure is StoreFailure.UNAVAILABLE


def test_hung_watch_ends_after_its_timeout_and_margin(monkeypatch):
    monkeypatch.setattr(module, "WATCH_TIMEOUT_MARGIN_S", 0.05)

    def hang(sock):
        read_head(sock)
        sock.recv(1)

    with raw_target(hang) as target:
        port = int(target.address.rpartition(":")[2])
        error = PlatformStore("127.0.0.1", port).watch("", 1, 0.05).unwrap_err()
    assert error.failure is StoreFailure.UNAVAILABLE


# Guards against silent connections that are taken for an outage of the store, and that
# are used one after the other.
def test_call_after_a_silent_one_opens_a_new_connection(monkeypatch):
    monkeypatch.setattr(module, "WATCH_TIMEOUT_MARGIN_S", 0.05)
    document = msgspec.json.encode({"events": [], "current-rev": 9})
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(document)
    silent, served = set(), []

    def serve_one(sock):
        number = len(served)
        served.append(0)
        while read_head(sock):
            if number in silent:
                sock.recv(1)
                return
            served[number] += 1
            gevent.sleep(0.02)
            sock.sendall(answer + document)

    with raw_target(serve_one) as target:
        store = PlatformStore("127.0.0.1", int(target.address.rpartition(":")[2]))
        calls = [gevent.spawn(store.watch, "", 1, 0.05) for _ in range(2)]
        assert all(call.get().is_ok() for call in calls)
        assert served == [1, 1]
        silent |= {0, 1}
        failures = [store.watch("", 1, 0.05) for _ in range(3)]
        assert failures[0].unwrap_err().failure is StoreFailure.TIMED_OUT
        assert all(each.is_ok() for each in failures[1:])
        assert served == [1, 1, 2]


# Guards against a store that is away and is called twice as often for each failure.
def test_silence_on_a_new_connection_is_no_silent_connection(monkeypatch):
    monkeypatch.setattr(module, "WATCH_TIMEOUT_MARGIN_S", 0.05)
    with raw_target(lambda sock: (read_head(sock), sock.recv(1))) as target:
        store = PlatformStore("127.0.0.1", int(target.address.rpartition(":")[2]))
        for _ in range(2):
            error = store.watch("", 1, 0.05).unwrap_err()
            assert error.failure is StoreFailure.UNAVAILABLE


def test_hung_watch_and_retry_pause_fit_into_the_proof_age():
    hung_s = WATCH_TIMEOUT_S + module.WATCH_TIMEOUT_MARGIN_S
    assert hung_s + MAX_RETRY_S / 2 < 5.0 * MAX_PROOF_AGE_RATIO


# Guards against revisions that are compared without the era in which they were given.
def test_answers_carry_the_era_that_the_store_states(serve):
    store, _ = serve(
        kv_range=lambda q: (200, {"items": [], "current-rev": 9}, "7"),
        kv_watch=lambda q: (200, {"events": [], "current-rev": 9}),
    )
    assert store.listing("").unwrap().era == 7
    assert store.watch("", 9, 0.0).unwrap().era == NO_ERA


# Guards against a wrong era that sets the daemon's own to a wrong number.
@pytest.mark.parametrize("era", ["", "-1", "x", "1.5", "9" * 40])
def test_answer_whose_era_is_no_number_is_an_error(serve, era):
    store, _ = serve(kv_watch=lambda q: (200, {"events": [], "current-rev": 9}, era))
    failed = store.watch("", 9, 0.0).unwrap_err()
    assert failed.failure is StoreFailure.UNKNOWN
    assert "Store-Era" in failed.detail


# Guards against a listing of which one half is older than the other.
def test_listing_whose_pages_are_of_two_eras_is_an_error(serve):
    eras = iter("78")

    def page(query):
        body = {"items": [item("a", b"1", 1)], "more-pages": True, "current-rev": 9}
        return 200, body, next(eras)

    store, _ = serve(kv_range=page)
    assert "two pages" in store.listing("").unwrap_err().detail


# Guards against a process that keeps all of an answer of the store that never ends.
@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize("framing", ["Transfer-Encoding: chunked", "X-Length: none"])
def test_answer_without_end_is_given_up(status, framing, monkeypatch):
    monkeypatch.setattr(module, "MAX_ANSWER_BYTES", 200_000)
    sent = []

    def serve(sock):
        read_head(sock)
        sock.sendall(f"HTTP/1.1 {status} Status\r\n{framing}\r\n\r\n".encode())
        block = b"x" * 65_536
        data = b"10000\r\n" + block + b"\r\n" if "chunked" in framing else block
        try:
            while True:
                sock.sendall(data)
                sent.append(len(data))
        except OSError:
            return

    with raw_target(serve) as server:
        host, port = server.address.split(":")
        error = PlatformStore(host, int(port)).listing("").unwrap_err()
    assert error.failure is StoreFailure.UNAVAILABLE
    assert sum(sent) < 16_000_000
