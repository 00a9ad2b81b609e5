"""Tests of the check of a configuration."""

import copy

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingpond.entry.config_check.check import check_config
from lacewingpond.entry.config_check.finding import Level, exit_status
from lacewingpond.platform.config_document import decode_config
from lacewingpond.platform.config_form import decode_form

RULE = {
    "name": "r-1",
    "target-latency": "1s",
    "match": {"prefix": "/a/"},
    "action": {
        "traffic-split": [
            {"service": "one", "weight": 9},
            {"service": "two", "weight": 1},
        ],
        "timeout": "3s",
        "max-attempts": 2,
    },
}
CLEAN = {
    "version": 7,
    "limits": {
        "max-header-bytes": 100,
        "max-body-bytes": 200,
        "header-timeout": "3s",
        "idle-timeout": "15s",
    },
    "tenants": [{"name": "w", "api-keys": ["key-1"], "rate-per-s": 5, "burst": 5}],
    "listeners": [{"host": "a.example", "rules": [RULE]}],
    "clusters": [{"name": "one", "warmup": "3s", "warmup-per-s": 3.7}, {"name": "two"}],
}
RULE_PLACE = "listeners[0].rules[0]"
SPLIT_PLACE = f"{RULE_PLACE}.action.traffic-split"


def decoded(document):
    return decode_config(msgspec.json.encode(document))


def findings_of(document, in_force=None):
    form = decode_form(msgspec.json.encode(document))
    against = decoded(in_force).unwrap() if in_force else None
    return check_config(form, decoded(document).ok(), against)


def brief(findings):
    return [(finding.level.value, finding.place) for finding in findings]


def changed(*edits):
    """Return a copy of CLEAN in which each path of `edits` has the given value."""
    document = copy.deepcopy(CLEAN)
    for path, value in edits:
        inner = document
        for step in path[:-1]:
            inner = inner[step]
        if isinstance(inner, list) and path[-1] == len(inner):
            inner.append(value)
        else:
            inner[path[-1]] = value
    return document


def rule(*path):
    return ("listeners", 0, "rules", 0, *path)


SPLIT = rule("action", "traffic-split")
SECOND = {**RULE, "name": "r-2"}


# A correct document was reported, so that operators learned to ignore the check.
def test_clean_document_has_no_findings():
    assert findings_of(CLEAN) == []
    assert exit_status([]) == 0


# Warm-ups were dropped by the decoder, so that the check and VMs did not see them.
def test_warmup_of_a_service_is_decoded():
    services = decoded(CLEAN).unwrap().services
    warmups = {name: (s.warmup_s, s.warmup_rate) for name, s in services.items()}
    assert warmups == {"one": (3.0, 3.7), "two": (0.0, 0.0)}


# A fault that stops requests of a route was put in force without a word.
@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        (rule("action", "timeout"), "3 s", f"{RULE_PLACE}.action.timeout"),
        ((*SPLIT, 1, "weight"), -1, f"{SPLIT_PLACE}[1].weight"),
        (rule("match", "prefix"), "/a", f"{RULE_PLACE}.match.prefix"),
        (rule("match", "prefix"), "a/", f"{RULE_PLACE}.match.prefix"),
        (rule("action", "max-attempts"), 0, f"{RULE_PLACE}.action.max-attempts"),
        (("clusters", 2), {"name": "two"}, "clusters[2].name"),
        (("tenants", 1), CLEAN["tenants"][0] | {"api-keys": ["k"]}, "tenants[1].name"),
        (("tenants", 1), CLEAN["tenants"][0] | {"name": "v"}, "tenants[1].api-keys[0]"),
        (("version",), "7", "version"),
    ],
)
def test_error_is_the_only_finding_and_has_its_place(path, value, place):
    findings = findings_of(changed((path, value)))
    assert (brief(findings), exit_status(findings)) == ([("error", place)], 2)


# A route to a service that does not exist refused every request.
@pytest.mark.parametrize(
    ("path", "value", "place", "unrouted"),
    [
        ((*SPLIT, 0, "service"), "x", f"{SPLIT_PLACE}[0].service", [0]),
        (rule("action"), {}, f"{RULE_PLACE}.action.service", [0, 1]),
    ],
)
def test_missing_service_is_an_error(path, value, place, unrouted):
    warnings = [("warning", f"clusters[{number}]") for number in unrouted]
    assert brief(findings_of(changed((path, value)))) == [("error", place), *warnings]


# An entry without effect, or limits of which one is void, went unnoticed.
@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        (("listeners", 1), {"host": "b.example"}, "listeners[1]"),
        (("listeners", 0, "host"), "", "listeners[0].host"),
        (("listeners", 0, "host"), "a.example:80", "listeners[0].host"),
        (("listeners", 0, "host"), "a example", "listeners[0].host"),
        (("clusters", 2), {"name": "three"}, "clusters[2]"),
        ((*SPLIT, 1, "weight"), 0, f"{SPLIT_PLACE}[1]"),
        (("tenants", 1), {"name": "v"}, "tenants[1]"),
        (rule("action", "timeout"), "900ms", f"{RULE_PLACE}.action.timeout"),
        (("tenants", 0, "burst"), 0.5, "tenants[0].burst"),
        (("limits", "max-header-bytes"), 201, "limits.max-header-bytes"),
        (("clusters", 0, "warmup"), "", "clusters[0].warmup-per-s"),
    ],
)
def test_warning_is_the_only_finding_and_has_its_place(path, value, place):
    findings = findings_of(changed((path, value)))
    assert (brief(findings), exit_status(findings)) == ([("warning", place)], 1)


# The rule in force was reported as void instead of the one that it replaces.
def test_replaced_rule_is_the_one_that_the_daemon_never_uses():
    other = {"host": "A.example", "rules": [SECOND]}
    document = changed((("listeners", 1), other))
    assert brief(findings_of(document)) == [
        ("warning", RULE_PLACE),
        ("warning", "listeners[1].host"),
    ]
    assert decoded(document).unwrap().route("a.example", "/a/").name == "r-2"


# Findings came grouped by check, so that operators went through the file many times.
def test_all_findings_come_in_the_order_of_the_document():
    document = changed(
        (("tenants", 0, "burst"), 0),
        (rule("action", "timeout"), "never"),
        (("listeners", 0, "rules", 1), {**SECOND, "name": "r-1", "action": {}}),
        ((*SPLIT, 0, "weight"), 0),
        ((*SPLIT, 1, "weight"), 0),
        (("clusters", 2), {"health-path": "/"}),
    )
    assert brief(findings_of(document)) == [
        ("warning", "tenants[0].burst"),
        ("warning", RULE_PLACE),
        ("error", SPLIT_PLACE),
        ("error", f"{RULE_PLACE}.action.timeout"),
        ("error", "listeners[0].rules[1].name"),
        ("error", "clusters[2].name"),
    ]


# An older version, which VMs ignore, was written and seemed to be in force.
def test_version_must_be_above_that_in_force():
    findings = findings_of(CLEAN, CLEAN)
    assert brief(findings) == [("error", "version")]


# A change beside the intended one was put in force unseen.
def test_differences_name_entry_field_and_both_values():
    document = changed(
        (("version",), 8),
        (("limits", "max-body-bytes"), 300),
        (("tenants", 0, "api-keys"), ["key-2", "key-3"]),
        (rule("action", "timeout"), "2s"),
        ((*SPLIT, 0, "weight"), 8),
        (("clusters", 1), {"name": "three"}),
        ((*SPLIT, 1, "service"), "three"),
    )
    findings = findings_of(document, CLEAN)
    assert [(finding.place, finding.problem) for finding in findings] == [
        ("limits.body_bytes", "changed from 200 to 300"),
        ("workspaces.w.keys", "2 added, 1 withdrawn"),
        ("routes.r-1.split", "changed from one 9, two 1 to one 8, three 1"),
        ("routes.r-1.timeout_s", "changed from 3 to 2"),
        ("services.three", "added"),
        ("services.two", "removed"),
    ]
    assert {finding.level for finding in findings} == {Level.DIFFERENCE}
    assert exit_status(findings) == 0


KEYS = st.lists(st.integers(0, 9).map("secret-{}".format), max_size=4)
TENANTS = st.lists(
    st.fixed_dictionaries(
        {"name": st.sampled_from("vw"), "api-keys": KEYS | st.just(["secret-0", 1])}
    ),
    max_size=3,
)


# A key of a workspace was printed to a terminal or into a log of a build.
@given(
    TENANTS, TENANTS.filter(lambda each: decoded({**CLEAN, "tenants": each}).is_ok())
)
def test_keys_are_never_in_findings(after, before):
    new = {**CLEAN, "version": 8, "tenants": after}
    findings = findings_of(new, {**CLEAN, "tenants": before})
    form = decode_form(msgspec.json.encode(new))
    assert "secret" not in "".join(map(str, findings)) + repr(form)
