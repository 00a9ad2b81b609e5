"""Tests of the limits that targets name, over all VMs of a fleet."""

import pytest
from limit_helper import LimitFleet, allowed


# Guards against a target that names a limit being chosen as if it had named none.
@pytest.mark.parametrize("rate", [0.5, 1.0, 2.0])
def test_target_that_names_a_limit_gets_no_more_than_it_allows_from_the_fleet(
    clock, rate
):
    fleet = LimitFleet(clock)
    fleet.targets.limits.update(t0=str(rate), t1=str(rate))
    fleet.run(20.0)
    most = max(fleet.targets.most_in_a_window(t) for t in ("t0", "t1"))
    assert most <= allowed(rate)
    assert set(fleet.statuses()) == {200}
