"""Tests of plans and of their findings and warnings."""

import msgspec
from config_helpers import first_intents, small_config, targets

from lacewingpond.config.intents import (
    AddTarget,
    DrainTarget,
    GrantKey,
    Intent,
    PutRoute,
    PutService,
    PutWorkspace,
    RemoveService,
    RemoveTarget,
    RemoveWorkspace,
    SetRate,
    WithdrawKey,
)
from lacewingpond.config.model import Config, Key, Route, Service, Target, Workspace
from lacewingpond.config.plan import plan


def findings(*intents, cfg=None):
    return [str(f) for f in plan(cfg or small_config(), intents).unwrap_err()]


def test_plan_has_base_revision_diff_and_a_reproducible_id():
    made = plan(Config(), first_intents()).unwrap()
    assert made.base_revision == 0
    assert [line.action.value for line in made.diff] == ["add"] * 4
    assert made.plan_id == plan(Config(), first_intents()).unwrap().plan_id
    assert made.plan_id != plan(Config(revision=1), first_intents()).unwrap().plan_id


def test_all_findings_are_returned_together_with_their_places():
    found = findings(
        SetRate("workspace", "shop", 0.0, 5.0),
        PutRoute(Route("a", "nowhere", "/a", workspaces=("ghost",))),
        PutRoute(Route("b", "gallery", "/pages/")),
        PutWorkspace(Workspace("new", -1.0, 0.0)),
        PutWorkspace(Workspace("new", 1.0, 1.0)),
        PutService(Service("odd", (Target("x", "host:80"), Target("x", "10.0.0.1:1")))),
        RemoveTarget("gallery", "t99"),
        GrantKey(Key("k2", "ghost", "abc")),
        WithdrawKey("k9"),
    )
    for place in (
        "intents[0].rate",
        "intents[1].route.service",
        "intents[1].route.workspaces[0]",
        "intents[2].route.path_prefix",
        "intents[3].workspace.rate",
        "intents[3].workspace.burst",
        "intents[4].workspace",
        "intents[5].service.targets[0].address",
        "intents[5].service.targets[1].target_id",
        "intents[6].target_id",
        "intents[7].key.workspace",
        "intents[7].key.digest",
        "intents[8].key_id",
    ):
        assert any(line.startswith(f"{place}: ") for line in found), place


def test_removal_of_a_used_item_is_refused():
    found = findings(RemoveService("gallery"), RemoveWorkspace("shop"))
    assert "intents[0].name: still used by route 'pages'" in found
    assert "intents[1].name: still used by key 'k1'" in found


def test_grant_of_an_existing_key_id_with_another_key_is_refused():
    assert "exists; withdraw it first" in findings(GrantKey(Key("k1", "shop", "0")))[0]


def test_floor_above_the_capacity_left_gives_a_warning():
    drains = tuple(DrainTarget("gallery", f"t{n}") for n in range(4))
    made = plan(small_config(), drains).unwrap()
    assert "above the capacity left: 12 of 36 slots" in made.warnings[0].problem


def test_open_route_without_a_rate_and_an_empty_change_give_warnings():
    route = PutRoute(Route("all", "gallery", "/open", open=True))
    assert plan(small_config(), (route,)).unwrap().warnings[0].place.endswith("open")
    same = PutService(Service("gallery", targets(6)))
    assert plan(small_config(), (same,)).unwrap().warnings[-1].place == "intents"


def test_diff_lists_changed_fields_and_targets():
    made = plan(
        small_config(),
        (
            SetRate("workspace", "shop", 50.0, 20.0),
            AddTarget("gallery", Target("t6", "10.0.0.7:80")),
            DrainTarget("gallery", "t0"),
        ),
    ).unwrap()
    assert [str(line) for line in made.diff] == [
        "change workspace shop (rate: 10.0 -> 50.0)",
        "change service gallery (target t0 changed (draining); target t6 added)",
    ]


def test_intent_is_decoded_from_json_by_its_type():
    text = b'{"type":"withdraw-key","key_id":"k1"}'
    intent = msgspec.json.decode(text, type=Intent)
    assert intent == WithdrawKey("k1")
