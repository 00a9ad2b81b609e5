"""Tests of decoding the platform's configuration document."""

import msgspec
import pytest

from lacewingpond.platform.config_document import decode_config

DOCUMENT = {
    "version": 7,
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout": "3000ms",
        "idle-timeout": "15s",
    },
    "tenants": [
        {
            "name": "sese880",
            "api-keys": ["first-key", "second-key"],
            "priority": 1,
            "rate-per-s": 31,
            "burst": 31,
        }
    ],
    "base-version": 5,
    "listeners": [
        {
            "host": "Jepu9.example",
            "rules": [
                {
                    "name": "r-1",
                    "kind": "idempotent",
                    "target-latency": "2000ms",
                    "priority": 2,
                    "public": False,
                    "match": {"prefix": "/lepu270/"},
                    "action": {
                        "traffic-split": [
                            {"service": "one", "weight": 90},
                            {"service": "two", "weight": 10},
                        ],
                        "timeout": "3000ms",
                        "max-attempts": 2,
                    },
                },
                {
                    "name": "r-2",
                    "kind": "non_idempotent",
                    "match": {"prefix": "/lepu270/ny95/"},
                    "action": {"service": "two"},
                },
            ],
        }
    ],
    "clusters": [
        {"name": "one", "health-path": "/health", "max-conns": 360, "tls": False},
        {"name": "two", "health-path": "/health", "max-conns": 360},
    ],
}


def decoded(**changes):
    return decode_config(msgspec.json.encode({**DOCUMENT, **changes}))


# Guards against a warm-up rate that is set but not kept.
def test_warmup_of_a_service_is_decoded_and_off_by_default():
    cluster = {"name": "one", "warmup": "3s", "warmup-per-s": 3.7}
    services = decoded(clusters=[cluster, {"name": "two"}]).unwrap().services
    assert (services["one"].warmup_s, services["one"].warmup_rate) == (3.0, 3.7)
    assert (services["two"].warmup_s, services["two"].warmup_rate) == (0.0, 0.0)


def test_routes_splits_and_limits_are_decoded():
    cfg = decoded().unwrap()
    first, second = cfg.routes
    assert (cfg.version, first.idempotent, second.idempotent) == (7, True, False)
    assert [(p.service, p.weight) for p in first.split] == [("one", 90), ("two", 10)]
    assert (first.timeout_s, second.timeout_s) == (3.0, float("inf"))
    assert (cfg.limits.head_timeout_s, cfg.limits.idle_timeout_s) == (3.0, 15.0)


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/lepu270/2f", "r-1"),
        ("/lepu270/ny95/2f?q=/x/", "r-2"),
        ("/lepu270/ny95", "r-1"),
        ("/lepu270", None),
        ("/lepu270x/2f", None),
        ("/?/lepu270/", None),
    ],
)
def test_longest_matching_path_prefix_selects_the_route(path, name):
    found = decoded().unwrap().route("jepu9.example", path)
    assert (found.name if found else None) == name


def test_keys_select_their_workspace_and_are_not_in_reprs():
    cfg = decoded().unwrap()
    assert cfg.workspace_of("second-key").name == "sese880"
    assert cfg.workspace_of("third-key") is None
    assert "key" not in repr(cfg) + repr(cfg.workspaces["sese880"])


def test_document_without_tenants_requires_no_keys():
    document = {k: v for k, v in DOCUMENT.items() if k != "tenants"}
    assert not decode_config(msgspec.json.encode(document)).unwrap().has_workspaces


def test_unknown_fields_are_ignored():
    assert decoded(novelty={"a": 1}).is_ok()


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"{}",
        b"\xff\xfe",
        b'{"version": 1, "x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        msgspec.json.encode(DOCUMENT)[:-40],
        msgspec.json.encode({**DOCUMENT, "version": "seven"}),
        msgspec.json.encode({**DOCUMENT, "listeners": [{"rules": []}]}),
    ],
)
def test_malformed_document_is_an_error(raw):
    assert decode_config(raw).is_err()


def test_malformed_duration_is_an_error():
    limits = {**DOCUMENT["limits"], "idle-timeout": "15 minutes"}
    assert decoded(limits=limits).is_err()


# A document that raises would end the follower of the store.
def test_deeply_nested_document_is_an_error():
    nested = b'{"more":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    assert decode_config(nested).is_err()
