"""Which VMs watch the store, and which exchange revisions with each other."""

from lacewingpond.config.options import ConfigOptions
from lacewingpond.store.base import VmRecord
from lacewingpond.util.rendezvous import ranked

WATCH_ROLE = "config-watch"


class Neighbours:
    """Chooses from the live VMs; all choices are kept while those stay the same.

    Parameters
    ----------
    vm : VmRecord
        This VM.
    options : ConfigOptions
        How many to choose.
    """

    __slots__ = ("_vm", "_options", "_live", "_chosen", "_watches")

    def __init__(self, vm: VmRecord, options: ConfigOptions) -> None:
        self._vm = vm
        self._options = options
        self._live: tuple[VmRecord, ...] | None = None
        self._chosen: tuple[str, ...] = ()
        self._watches = True

    def update(self, live: tuple[VmRecord, ...]) -> None:
        """Choose anew when the other live VMs have changed."""
        if live == self._live:
            return
        self._live = live
        near = [vm.vm_id for vm in live if self._is_near(vm)]
        far = [vm.vm_id for vm in live if not self._is_near(vm)]
        self._chosen = (
            *ranked(self._vm.vm_id, near)[: self._options.neighbours_in_domain],
            *ranked(self._vm.vm_id, far)[: self._options.neighbours_elsewhere],
        )
        self._watches = self._must_watch(near, len(live) + 1)

    @property
    def chosen(self) -> tuple[str, ...]:
        """VMs to push to and to pull from."""
        return self._chosen

    @property
    def watches(self) -> bool:
        """Whether this VM watches the store."""
        return self._watches

    def _is_near(self, vm: VmRecord) -> bool:
        return vm.failure_domain == self._vm.failure_domain

    def _must_watch(self, near: list[str], fleet: int) -> bool:
        if fleet <= self._options.watch_all_up_to_vms:
            return True
        order = ranked(WATCH_ROLE, [*near, self._vm.vm_id])
        return self._vm.vm_id in order[: self._options.watchers_per_domain]
