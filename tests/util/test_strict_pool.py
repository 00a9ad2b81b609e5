"""Tests of the clients of the store and of daemons with broken responses."""

import msgspec
import pytest
from path_helper import raw_target, read_head, reset

from lacewingpond.load.caller import Caller, CallOutcome
from lacewingpond.load.plan import RequestKind, WorkspaceLoad
from lacewingpond.load.schedule import ScheduledRequest
from lacewingpond.operator.client import OperatorClient
from lacewingpond.operator.documents import ConfigView
from lacewingpond.platform.store import PlatformStore
from lacewingpond.store.base import StoreEntry, StoreFailure
from lacewingpond.store.http import HttpStore, HttpVmList
from lacewingpond.store.options import StoreOptions
from lacewingpond.store.wire import REVISION_HEADER

NAMES = [b"X Y", b"X\tY", b"X\x00Y", b"X\x01Y", b"X\rY", b"X\x7fY", b"X ", b" X", b""]
OK = b"HTTP/1.1 200 OK\r\n"
REVISION = REVISION_HEADER.encode() + b": 7\r\n"
VALUE_BYTES = 8_000_000
EVENTS = b'{"events": [], "current-rev": 7}'
CONFIG = msgspec.json.encode(ConfigView(7, (), (), (), ()))


def responding(raw):
    def serve(sock):
        read_head(sock)
        sock.sendall(raw)
        sock.close()

    return raw_target(serve)


def response(fields, body, length=None):
    size = len(body) if length is None else length
    return OK + fields + b"Content-Length: %d\r\n\r\n" % size + body


def malformed(name, body, before=b"", after=b"", length=None):
    """Return a response with a malformed field between others."""
    return response(before + name + b": z\r\n" + after, body, length)


def watch(raw):
    with responding(raw) as target:
        host, _, port = target.address.rpartition(":")
        return PlatformStore(host, int(port)).watch("", 1, 0.1)


def put(raw):
    with responding(raw) as target:
        host, _, port = target.address.rpartition(":")
        return PlatformStore(host, int(port)).put("a", b"1", "3")


def client_of(kind, target):
    return kind.from_options(StoreOptions(address=target.address))


def get(raw):
    with responding(raw) as target:
        return client_of(HttpStore, target).get("a")


def put_if(raw):
    with responding(raw) as target:
        return client_of(HttpStore, target).put_if("a", b"1", 6)


def vms(raw):
    with responding(raw) as target:
        return client_of(HttpVmList, target).read()


def show_config(raw):
    with responding(raw) as target:
        return OperatorClient(target.address, "token").show_config()


def load(raw, method="GET"):
    kind = RequestKind("/x", method)
    request = ScheduledRequest(
        0.0, 1, WorkspaceLoad("w", "", 1.0, (kind,)), kind, "", False, False
    )
    with responding(raw) as target:
        return Caller(5.0, 1).send(request, target.address)


# Guards against an answer of the store whose era is hidden behind a malformed field, so
# that the copy that it comes from counts as the one known here.
@pytest.mark.parametrize("name", NAMES)
def test_answer_of_the_store_with_a_malformed_field_is_an_error(name):
    read = watch(malformed(name, EVENTS, after=b"Store-Era: 4\r\n"))
    assert read.unwrap_err().failure is StoreFailure.UNAVAILABLE
    written = put(malformed(name, b'{"revision": 7}', after=b"Store-Era: 4\r\n"))
    assert written.unwrap_err().failure is StoreFailure.UNKNOWN


# A length that is hidden lets a part of a value pass for all of it.
@pytest.mark.parametrize("name", NAMES)
def test_part_of_a_value_behind_a_malformed_field_is_an_error(name):
    raw = malformed(name, b"valu", before=REVISION, length=5)
    assert get(raw).unwrap_err().failure is StoreFailure.UNAVAILABLE


@pytest.mark.parametrize("name", NAMES)
def test_write_with_a_malformed_response_is_unknown(name):
    raw = malformed(name, b"", before=REVISION)
    assert put_if(raw).unwrap_err().failure is StoreFailure.UNKNOWN


@pytest.mark.parametrize("name", NAMES)
def test_list_of_vms_with_a_malformed_field_is_an_error(name):
    raw = malformed(name, msgspec.msgpack.encode(()))
    assert vms(raw).unwrap_err().failure is StoreFailure.UNAVAILABLE


@pytest.mark.parametrize("name", NAMES)
def test_response_of_a_daemon_with_a_malformed_field_is_an_error(name):
    assert show_config(malformed(name, CONFIG)).unwrap_err().status == 0
    assert load(malformed(name, b"ok")).outcome is CallOutcome.ERROR


# Without the malformed field the same responses are accepted.
def test_valid_responses_are_accepted():
    assert watch(response(b"Store-Era: 4\r\n", EVENTS)).unwrap().era == 4
    assert put(response(b"", b'{"revision": 7}')).unwrap() == 7
    assert get(response(REVISION, b"value")).unwrap() == StoreEntry("a", b"value", 7)
    assert put_if(response(REVISION, b"")).unwrap() == 7
    assert vms(response(b"", msgspec.msgpack.encode(()))).unwrap() == ()
    assert show_config(response(b"", CONFIG)).unwrap().revision == 7
    assert load(response(b"", b"ok")).outcome is CallOutcome.ANSWERED


@pytest.mark.parametrize("status", [b"000", b"099", b"2000", b"2 0", b"20\x00"])
def test_response_with_an_invalid_status_is_an_error(status):
    raw = response(b"Store-Era: 4\r\n" + REVISION, EVENTS).replace(b"200", status, 1)
    assert all(each(raw).is_err() for each in (watch, put, get, put_if, vms))
    assert show_config(raw).is_err()
    assert load(raw).outcome is CallOutcome.ERROR


# A send meets the reset, which urllib3 passes over; a part of a document can't be read.
def test_part_of_a_response_to_a_long_write_is_unknown():
    def serve(sock):
        read_head(sock)
        sock.sendall(OK + b"\r\n" + b'{"revision": 7')
        reset(sock)

    with raw_target(serve) as target:
        host, _, port = target.address.rpartition(":")
        written = PlatformStore(host, int(port)).put("a", b"v" * VALUE_BYTES, "3")
    assert written.unwrap_err().failure is StoreFailure.UNKNOWN
