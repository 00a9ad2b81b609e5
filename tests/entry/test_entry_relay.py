"""Tests of VMs that reach no target: their callers are served through other VMs."""

import pytest
from fleet_helper import running_fleet, statuses
from stack_helper import signed


# Guards against a VM refusing requests for want of a path which its neighbours have.
@pytest.mark.parametrize("how", ["refused", "hang"])
def test_vm_without_a_path_to_any_target_serves_its_callers(how):
    with running_fleet(signed) as vms:
        vms[0].cut = how
        served = statuses(vms[:1], 20).count(200)
        elsewhere = statuses(vms[1:], 21, first=100).count(200)
    assert elsewhere == 21
    assert served >= 20 * 2 / 3
