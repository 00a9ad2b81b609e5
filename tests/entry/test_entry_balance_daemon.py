"""Tests of the balance across failure domains between whole daemons."""

import gevent
from fleet_helper import running_fleet, statuses
from msgspec import structs
from stack_helper import signed

from lacewingpond.entry.settings import BalanceSettings


# Guards against settings that change nothing, and reports that can't be decoded.
def test_balance_begins_and_ends_with_the_settings():
    with running_fleet(signed, size=2, domains=("zone-a", "zone-b")) as vms:
        daemons = [vm.daemon for vm in vms]
        assert all(daemon._placer.balance is None for daemon in daemons)
        for enabled in (True, False):
            for daemon in daemons:
                balance = BalanceSettings(enabled=enabled)
                daemon.apply_settings(structs.replace(daemon._cfg, balance=balance))
            with gevent.Timeout(5.0):
                while enabled and not all(_heard(daemon) for daemon in daemons):
                    gevent.sleep(0.05)
            assert statuses(vms, 8) == [200] * 8
            assert all((d._placer.balance is not None) == enabled for d in daemons)


def _heard(daemon):
    """Return the failure domains whose reports have arrived."""
    return daemon._balance._reports._received.keys()
