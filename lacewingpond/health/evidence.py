"""Evidence against one target, by the VMs that gave it."""

import heapq

from lacewingpond.health.cusum import log_likelihood
from lacewingpond.health.options import HealthOptions


class Evidence:
    """Two cumulative sums over the same outcomes: of each VM, and of all.

    The sums of single VMs find a target that fails for a few VMs only; the
    common sum finds one that fails for all while each VM sends little. Neither
    counts without several VMs, so that one bad link ejects nothing.
    """

    __slots__ = ("_options", "_by_vm", "_shared", "_shares")

    def __init__(self, options: HealthOptions) -> None:
        self._options = options
        self._by_vm: dict[str, float] = {}
        self._shared = 0.0
        self._shares: dict[str, float] = {}

    def add(
        self,
        vm_id: str,
        bad: int,
        total: int,
        healthy: float,
        vm_healthy: float,
        is_partial: bool = False,
    ) -> None:
        """Count one VM's outcomes of one period.

        Parameters
        ----------
        vm_id : str
            The VM that saw them.
        bad, total : int
            Failures, and all outcomes.
        healthy, vm_healthy : float
            Rate of failures of the target's peers as all VMs see it, and as
            this VM sees it.
        is_partial : bool
            True when the VM reports suspected targets only; such outcomes would
            bias the common sum.
        """
        excess = self._options.excess_rate
        rise = log_likelihood(bad, total, max(healthy, vm_healthy), excess)
        cap = self._options.threshold
        level = min(max(self._by_vm.get(vm_id, 0.0) + rise, 0.0), cap)
        if level > 0.0:
            self._by_vm[vm_id] = level
        else:
            self._by_vm.pop(vm_id, None)
        if not is_partial:
            self._add_shared(vm_id, rise)

    def strength(self, min_vms: int) -> float:
        """Return the evidence that stands without its strongest VMs' surplus.

        Parameters
        ----------
        min_vms : int
            VMs that must agree; each counts for at most its part of the threshold.
        """
        return max(self._single(min_vms), self._common(min_vms))

    def suspicion(self) -> float:
        """Return the strongest evidence of a single VM."""
        return max(self._by_vm.values(), default=0.0)

    def clear(self) -> None:
        """Forget everything."""
        self._by_vm.clear()
        self._shares.clear()
        self._shared = 0.0

    def _add_shared(self, vm_id: str, rise: float) -> None:
        self._shared = min(self._shared + rise, 4.0 * self._options.threshold)
        if self._shared <= 0.0:
            self._shared = 0.0
            self._shares.clear()
            return
        self._shares[vm_id] = self._shares.get(vm_id, 0.0) + rise

    def _single(self, min_vms: int) -> float:
        least = self._options.vm_evidence_min
        part = self._options.threshold / min_vms
        return sum(min(level, part) for level in self._by_vm.values() if level >= least)

    def _common(self, min_vms: int) -> float:
        if self._shared < self._options.threshold or min_vms == 1:
            return self._shared
        strongest = heapq.nlargest(min_vms - 1, self._shares.values())
        return self._shared - sum(share for share in strongest if share > 0.0)
