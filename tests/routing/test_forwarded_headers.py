"""Tests of the headers that are forwarded."""

import pytest

from lacewingpond.http.headers import Headers
from lacewingpond.routing.forwarded_headers import headers_to_target


@pytest.mark.parametrize(
    "name",
    ["X-HTTP-Method-Override", "x_http_method_override", "X-HTTP-Method", "Upgrade"],
)
def test_header_that_changes_the_request_is_not_forwarded(name):
    forwarded = headers_to_target(Headers([(name, "POST"), ("Accept", "*/*")]))
    assert list(forwarded) == [("Accept", "*/*")]
