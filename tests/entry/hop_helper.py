"""A VM that reaches no target, in front of one that serves its requests."""

import itertools
from contextlib import contextmanager

import gevent
import msgspec
from entry_helper import entry_target
from fleet_helper import START_TIMEOUT_S, lose, running_fleet
from path_helper import raw_target
from stack_helper import signed


class Hop:
    """Sends requests over a hop, each to a raw target of its own.

    What one target does says nothing about the next.

    Attributes
    ----------
    vm : FleetVm
        The VM that takes the requests.
    """

    def __init__(self, vms):
        self.vm = vms[0]
        self._vms = vms
        self._numbers = itertools.count(1)
        lose(self.vm)
        self._put(entry_target("t0", draining=True))

    @contextmanager
    def to(self, serve):
        """Let requests go to a target that runs `serve` for each connection."""
        target_id = f"raw-{next(self._numbers)}"
        with raw_target(serve) as target:
            spec = entry_target(target_id, target.address)
            self._put(spec)
            yield self.vm
            self._put(msgspec.structs.replace(spec, draining=True))

    def _put(self, target):
        key = f"targets/{target.target_id}"
        self.vm.store.put(key, msgspec.json.encode(target), "")
        with gevent.Timeout(START_TIMEOUT_S):
            while any(
                vm.daemon.view.targets.get(target.target_id) != target
                for vm in self._vms
            ):
                gevent.sleep(0.01)


@contextmanager
def running_hop():
    with running_fleet(signed, size=2, targets=1) as vms:
        yield Hop(vms)
