"""Tests of API keys and of the headers that are forwarded."""

import hashlib

import pytest

from lacewingpond.config.model import Config, Key
from lacewingpond.http.headers import Headers
from lacewingpond.routing.forwarded_headers import headers_to_caller, headers_to_target
from lacewingpond.routing.keys import KeyTable, presented_key

SECRET = "lp_secret"


def test_key_is_found_by_its_digest_only():
    digest = hashlib.sha256(SECRET.encode()).hexdigest()
    key = Key("k1", "w", digest)
    table = KeyTable.from_config(Config(keys=(key,)))
    assert table.find(SECRET) is key
    assert table.find(SECRET + "x") is None
    assert table.find(digest) is None
    assert KeyTable.from_config(Config()).find(SECRET) is None


@pytest.mark.parametrize(
    ("pairs", "key"),
    [
        ((("Authorization", f"Bearer {SECRET}"),), SECRET),
        ((("authorization", f"bEARER   {SECRET} "),), SECRET),
        ((("x-api-key", SECRET),), SECRET),
        ((("X-Api-Key", SECRET), ("Authorization", f"Bearer {SECRET}")), SECRET),
        ((("X-Api-Key", SECRET), ("X-Api-Key", "other")), None),
        ((("Authorization", "Basic abc"),), None),
        ((("X-Api-Key", ""),), None),
        ((("X-Api-Key", "k" * 513),), None),
        ((), None),
    ],
)
def test_one_key_is_read_from_the_headers(pairs, key):
    assert presented_key(Headers(pairs)) == key


@pytest.mark.parametrize(
    "name", ["Authorization", "AUTHORIZATION", "X-Api-Key", "x_api_key", "X-API_KEY"]
)
@pytest.mark.parametrize("value", [f"Bearer {SECRET}", f"bearer {SECRET}", SECRET])
def test_key_is_never_forwarded_to_a_target(name, value):
    forwarded = headers_to_target(Headers(((name, value), ("Accept", "*/*"))))
    assert list(forwarded) == [("Accept", "*/*")]


def test_hop_by_hop_headers_are_removed_in_both_directions():
    pairs = (
        ("Host", "a"),
        ("Connection", "close, X-Mine, Host"),
        ("X-Mine", "1"),
        ("Keep-Alive", "5"),
        ("TE", "trailers"),
        ("Upgrade", "h2c"),
        ("Proxy-Authorization", "Basic x"),
        ("Authorization", "Basic x"),
        ("Content_Length", "7"),
        ("X-Other", "2"),
        ("X-Other", "3"),
    )
    forwarded = [("Host", "a"), ("Authorization", "Basic x")]
    others = [("X-Other", "2"), ("X-Other", "3")]
    assert list(headers_to_target(Headers(pairs))) == forwarded + others
    to_caller = headers_to_caller(Headers((*pairs, ("Lacewingpond-Run", "not-run"))))
    assert list(to_caller) == [*forwarded, ("Content_Length", "7"), *others]
