"""Interface by which the rest of the daemon sees the other VMs."""

from typing import Protocol

from lacewingpond.store.base import VmRecord


class MembershipView(Protocol):
    """An eventually consistent view of the fleet; it may be out of date."""

    def live(self) -> tuple[VmRecord, ...]:
        """Return the other VMs that are listed, not leaving and not suspected."""
        ...

    def is_reachable(self, vm_id: str) -> bool:
        """Return whether `vm_id` is listed and no recent call to it failed."""
        ...
