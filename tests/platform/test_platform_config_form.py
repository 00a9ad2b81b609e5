"""Tests of collecting the faults of the platform's configuration document."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from lacewingpond.platform.config_document import decode_config
from lacewingpond.platform.config_form import decode_form

FULL = {
    "version": 1,
    "limits": {
        "max-header-bytes": 1,
        "max-body-bytes": 2,
        "header-timeout": "3s",
        "idle-timeout": "15s",
    },
    "tenants": [{"name": "w", "api-keys": ["k"], "rate-per-s": 5, "burst": 5}],
    "listeners": [
        {
            "host": "h",
            "rules": [
                {
                    "name": "r",
                    "target-latency": "1s",
                    "match": {"prefix": "/"},
                    "action": {
                        "traffic-split": [{"service": "a", "weight": 1.5}],
                        "timeout": "3s",
                        "max-attempts": 2,
                    },
                }
            ],
        }
    ],
    "clusters": [{"name": "a", "warmup": "3s", "warmup-per-s": 3.7}],
}
SCALARS = st.none() | st.booleans() | st.integers() | st.sampled_from(["", "2s", "1h"])
VALUES = SCALARS | st.lists(SCALARS, max_size=2) | st.just({})


@st.composite
def edited(draw, value):
    """Return a copy of `value` in which some parts are replaced or removed."""
    if draw(st.integers(0, 15)) == 0:
        return draw(VALUES)
    if isinstance(value, dict):
        kept = [name for name in value if draw(st.integers(0, 30))]
        return {name: draw(edited(value[name])) for name in kept}
    if isinstance(value, list):
        return [draw(edited(inner)) for inner in value]
    return value


# Only the first of several faults was named, so that each needed a run of its own.
def test_all_faults_of_form_are_collected_with_their_places():
    document = {
        "listeners": [
            7,
            {"host": 1, "rules": [{"name": "r", "action": {"timeout": "soon"}}]},
        ],
        "clusters": [{"name": "a", "warmup": "1h", "max-conns": "x"}],
        "limits": {"max-header-bytes": 1, "header-timeout": "", "idle-timeout": "1s"},
        "tenants": [{"api-keys": ["k", 1]}],
    }
    form = decode_form(msgspec.json.encode(document))
    assert sorted(fault.place for fault in form.faults) == [
        "clusters[0].max-conns",
        "clusters[0].warmup",
        "limits.header-timeout",
        "limits.max-body-bytes",
        "listeners[0]",
        "listeners[1].host",
        "listeners[1].rules[0].action.timeout",
        "listeners[1].rules[0].match",
        "tenants[0].api-keys[1]",
        "tenants[0].name",
        "version",
    ]


# A document that the daemon refuses passed the check, or the check raised an error.
@given(edited(FULL))
def test_faults_are_found_exactly_where_the_daemon_refuses(document):
    raw = msgspec.json.encode(document)
    assert bool(decode_form(raw).faults) == decode_config(raw).is_err()


# Deep nesting, which ends the recursion of a decoder, raised an error out of the check.
def test_deep_nesting_is_accepted_or_a_fault():
    for depth in range(100, 1100, 10):
        raw = b'{"version": 1, "x": ' + b"[" * depth + b"]" * depth + b"}"
        assert len(decode_form(raw).faults) <= 1
