"""Choice of the VMs that watch the store and of each VM's neighbours."""

from lacewingpond.config.options import ConfigOptions
from lacewingpond.store.base import VmRecord
from lacewingpond.util.rendezvous import ranked

WATCH_ROLE = "config-watch"


class Neighbours:
    """Chooses neighbours from the live VMs, and whether this VM watches the store.

    The choice changes only when the live VMs do.

    Parameters
    ----------
    vm : VmRecord
        This VM.
    options : ConfigOptions
        Numbers of neighbours and of watchers.
    """

    __slots__ = ("_vm", "_options", "_live", "_chosen", "_watches")

    def __init__(self, vm: VmRecord, options: ConfigOptions) -> None:
        self._vm = vm
        self._options = options
        self._live: tuple[VmRecord, ...] | None = None
        self._chosen: tuple[str, ...] = ()
        self._watches = True

    def update(self, live: tuple[VmRecord, ...]) -> None:
        """Choose again if `live`, the other live VMs, has changed."""
        if live == self._live:
            return
        self._live = live
        in_domain = [vm.vm_id for vm in live if self._is_in_domain(vm)]
        elsewhere = [vm.vm_id for vm in live if not self._is_in_domain(vm)]
        self._chosen = (
            *ranked(self._vm.vm_id, in_domain)[: self._options.neighbours_in_domain],
            *ranked(self._vm.vm_id, elsewhere)[: self._options.neighbours_elsewhere],
        )
        self._watches = self._must_watch(in_domain, len(live) + 1)

    @property
    def chosen(self) -> tuple[str, ...]:
        """Ids of the neighbours, to push to and pull from."""
        return self._chosen

    @property
    def watches(self) -> bool:
        """Whether this VM watches the store."""
        return self._watches

    def _is_in_domain(self, vm: VmRecord) -> bool:
        return vm.failure_domain == self._vm.failure_domain

    def _must_watch(self, in_domain: list[str], fleet_size: int) -> bool:
        if fleet_size <= self._options.watch_all_up_to_vms:
            return True
        order = ranked(WATCH_ROLE, [*in_domain, self._vm.vm_id])
        return self._vm.vm_id in order[: self._options.watchers_per_domain]
