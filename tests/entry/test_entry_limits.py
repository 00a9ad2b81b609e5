"""Tests of the rate limits that targets name."""

import pytest
from entry_helper import config, entry_target
from path_helper import caller_server
from stack_helper import Stack, not_run, running, signed

from lacewingpond.entry.limits.parse import parse_limit


@pytest.mark.parametrize(
    ("text", "limit"), [("2.5", 2.5), ("0", 0.0), ("1000000000", 1e9), ("07", 7.0)]
)
def test_decimal_number_is_a_limit(text, limit):
    assert parse_limit([text]).ok_value == limit


@pytest.mark.parametrize(
    "values",
    [
        [""],
        ["many"],
        ["-1"],
        ["nan"],
        ["inf"],
        ["1e3"],
        ["1, 2"],
        ["1", "1"],
        ["9" * 16],
    ],
)
def test_other_values_are_no_limit(values):
    assert parse_limit(values).is_err()


def limit_lines(stack):
    return [
        (why, f.get("rate"))
        for what, _, why, f in stack.vm.log.lines
        if what == "limit"
    ]


def serve_responses(responses):
    """Return the limit lines after one request for each of `responses`."""
    left = list(responses)
    with running(Stack(config())) as stack:
        with caller_server(lambda req: left.pop(0)(req)) as server:
            stack.add_target(entry_target("t0", f"127.0.0.1:{server.port}"))
            for _ in responses:
                stack.call()
        return limit_lines(stack)


def naming(limit, respond=signed):
    def named(req):
        response = respond(req)
        response.headers.set("X-Limit", limit)
        return response

    return named


def test_changes_of_a_limit_are_logged():
    lines = serve_responses([naming("2.5"), naming("2.5"), naming("1"), signed])
    assert lines == [("named", 2.5), ("named", 1.0), ("ended", None)]


def test_limit_on_an_error_and_on_a_refusal_of_the_target_counts():
    error = naming("3", lambda req: signed(req, 500, b""))
    assert serve_responses([error]) == [("named", 3.0)]
    assert serve_responses([naming("4", not_run)]) == [("named", 4.0)]


def test_invalid_limit_is_logged_once_and_changes_nothing():
    lines = serve_responses([naming("2"), naming("-1"), naming("text"), naming("2")])
    assert [why for why, _ in lines] == ["named", "ignored: not a decimal number: '-1'"]
