"""Evidence that one target is unhealthy, by the VMs that reported it."""

import heapq

from lacewingpond.health.cusum import log_likelihood_ratio
from lacewingpond.health.options import HealthOptions


class Evidence:
    """Two kinds of cumulative sums over the same outcomes: per VM, and common.

    The sums per VM find a target that fails for a few VMs only; the common sum
    finds one that fails for all while each VM sends it few requests. Both need
    several VMs, so that one bad link ejects nothing.
    """

    __slots__ = ("_options", "_vm_sums", "_common_sum", "_common_parts")

    def __init__(self, options: HealthOptions) -> None:
        self._options = options
        self._vm_sums: dict[str, float] = {}
        self._common_sum = 0.0
        self._common_parts: dict[str, float] = {}

    def add(
        self,
        vm_id: str,
        bad: int,
        total: int,
        healthy: float,
        vm_healthy: float,
        is_partial: bool = False,
    ) -> None:
        """Add one VM's outcomes of one period.

        Parameters
        ----------
        vm_id : str
            The VM that reported them.
        bad, total : int
            Failures, and all outcomes.
        healthy, vm_healthy : float
            Failure rate of the target's peers, over all VMs and at this VM.
        is_partial : bool
            True when the VM reports suspected targets only; such outcomes would
            bias the common sum.
        """
        excess = self._options.excess_rate
        llr = log_likelihood_ratio(bad, total, max(healthy, vm_healthy), excess)
        cap = self._options.threshold
        vm_sum = min(max(self._vm_sums.get(vm_id, 0.0) + llr, 0.0), cap)
        if vm_sum > 0.0:
            self._vm_sums[vm_id] = vm_sum
        else:
            self._vm_sums.pop(vm_id, None)
        if not is_partial:
            self._add_common(vm_id, llr)

    def strength(self, min_vms: int) -> float:
        """Return the evidence on which at least `min_vms` VMs agree.

        Parameters
        ----------
        min_vms : int
            Number of VMs that must agree. A VM's own sum counts for at most
            ``threshold / min_vms``; the common sum counts without the parts of
            its ``min_vms - 1`` strongest VMs.
        """
        return max(self._vm_strength(min_vms), self._common_strength(min_vms))

    def suspicion(self) -> float:
        """Return the strongest evidence of a single VM."""
        return max(self._vm_sums.values(), default=0.0)

    def clear(self) -> None:
        """Reset all sums."""
        self._vm_sums.clear()
        self._common_parts.clear()
        self._common_sum = 0.0

    def _add_common(self, vm_id: str, llr: float) -> None:
        self._common_sum = min(self._common_sum + llr, 4.0 * self._options.threshold)
        if self._common_sum <= 0.0:
            self._common_sum = 0.0
            self._common_parts.clear()
            return
        self._common_parts[vm_id] = self._common_parts.get(vm_id, 0.0) + llr

    def _vm_strength(self, min_vms: int) -> float:
        min_evidence = self._options.vm_evidence_min
        cap = self._options.threshold / min_vms
        return sum(
            min(total, cap) for total in self._vm_sums.values() if total >= min_evidence
        )

    def _common_strength(self, min_vms: int) -> float:
        if self._common_sum < self._options.threshold or min_vms == 1:
            return self._common_sum
        strongest = heapq.nlargest(min_vms - 1, self._common_parts.values())
        return self._common_sum - sum(part for part in strongest if part > 0.0)
