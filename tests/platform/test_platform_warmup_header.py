"""Tests of decoding the remaining warm-up from a health response."""

import pytest

from lacewingpond.http.headers import Headers
from lacewingpond.platform.formats import FORMATS


def decode(*values):
    headers = Headers(("X-Lacewingpond-Warmup-Ms", value) for value in values)
    return FORMATS.decode_warmup(headers)


@pytest.mark.parametrize(("value", "left_s"), [("0", 0.0), ("1500", 1.5)])
def test_remaining_warmup_is_decoded(value, left_s):
    assert decode(value).unwrap() == left_s


# Guards against a target being taken for warm by a response that does not say so.
@pytest.mark.parametrize("values", [(), ("",), ("soon",), ("-1",), ("0", "900")])
def test_missing_or_invalid_header_is_an_error(values):
    assert decode(*values).is_err()
