"""What the rest of the daemon sees of the other VMs."""

from typing import Protocol

from lacewingpond.store.base import VmRecord


class MembershipView(Protocol):
    """An eventually consistent view of the fleet; it may be wrong at any time."""

    def live(self) -> tuple[VmRecord, ...]:
        """Return the other VMs that are listed, not leaving and seem to answer."""
        ...

    def is_reachable(self, vm_id: str) -> bool:
        """Return whether this VM believes that it can reach `vm_id`."""
        ...
