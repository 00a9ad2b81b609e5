"""Tests of the linear scans that the tables are compared with, and of the caller."""

import random

from hypothesis import given
from hypothesis import strategies as st
from path_helper import CLOCK, caller_server

from lacewingpond.bench.caller import BenchCaller
from lacewingpond.bench.routing import ScanKeys, ScanTable, keys_config
from lacewingpond.config.model import Config, Route, Service
from lacewingpond.http.response import Response
from lacewingpond.routing.keys import KeyTable
from lacewingpond.routing.routes import RouteTable

HOSTS = st.sampled_from(["", "a", "b"])
PATHS = st.lists(st.sampled_from(["x", "y", "z"]), max_size=4).map("/".join)


@given(
    st.lists(st.tuples(HOSTS, PATHS), unique=True, max_size=30),
    st.lists(st.tuples(HOSTS, PATHS), min_size=1, max_size=30),
)
def test_tree_finds_the_same_route_as_a_scan(routes, requests):
    cfg = Config(
        services=(Service("s"),),
        routes=tuple(
            Route(f"r{n}", "s", f"/{path}", host)
            for n, (host, path) in enumerate(routes)
        ),
    )
    tree, scan = RouteTable.from_config(cfg), ScanTable(cfg)
    for host, path in requests:
        found = tree.match(host, f"/{path}", "GET")
        simple = scan.match(host, f"/{path}", "GET")
        assert (found.ok().route if found.is_ok() else None) == simple


def test_key_table_finds_the_same_key_as_a_scan():
    cfg = keys_config(50)
    table, scan = KeyTable.from_config(cfg), ScanKeys(cfg)
    for secret in ("lp_00000007_" + "x" * 24, "lp_00000050_" + "x" * 24, ""):
        assert table.find(secret) is scan.find(secret)
    assert table.find("lp_00000007_" + "x" * 24).key_id == "k7"


def test_open_loop_counts_successful_and_failed_requests():
    responses = iter([Response(503)] * 5 + [Response(200, body=b"x" * 100_000)] * 45)
    with caller_server(lambda req: next(responses)) as server:
        caller = BenchCaller(server.port, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", CLOCK)
        result = caller.open_loop(2_000.0, 50, random.Random(1))
        caller.close()
    assert result.histogram.get_total_count() == 45
    assert result.failed == 5
