"""Tests of load plans and the schedules made from them."""

from pathlib import Path

import msgspec
import pytest

from lacewingpond.load.plan import LoadPlan, RequestKind, WorkspaceLoad
from lacewingpond.load.schedule import schedule

EXAMPLE = Path(__file__).parents[2] / "examples" / "load.toml"


@pytest.fixture
def plan():
    requests = (RequestKind("/a", weight=3.0), RequestKind("/b", "POST"))
    workspace = WorkspaceLoad("w", "", 50.0, requests, burst_every_s=4.0, burst_size=7)
    return LoadPlan(("127.0.0.1:1",), (workspace,), duration_s=10.0, seed=5)


def test_example_is_a_valid_plan():
    assert LoadPlan.from_file(EXAMPLE).unwrap().workspaces[0].name == "chitra-ghar"


def test_all_findings_of_a_plan_are_reported_together(tmp_path):
    path = tmp_path / "plan.toml"
    path.write_text(
        'daemons = ["10.0.0.1:80"]\ntargets = ["x"]\n'
        '[[workspaces]]\nname = "w"\nkey = ""\nrate = 1.0\nrequests = []\n'
    )
    findings = LoadPlan.from_file(path).unwrap_err()
    assert [f.place for f in findings] == [f"{path}.daemons[0]", f"{path}.targets[0]"]
    path.write_text("daemons = 3\n[[workspaces]]\nname = 1\nspeed = 2\n")
    assert len(LoadPlan.from_file(path).unwrap_err()) > 3


def test_schedule_is_sorted_and_depends_on_the_seed_only(plan):
    requests = schedule(plan)
    assert requests == schedule(plan)
    assert requests != schedule(msgspec.structs.replace(plan, seed=6))
    assert [a.at for a in requests] == sorted(a.at for a in requests)
    assert [a.at for a in requests].count(4.0) == 7


def test_schedule_has_at_most_max_requests(plan):
    assert len(schedule(msgspec.structs.replace(plan, max_requests=30))) == 30
