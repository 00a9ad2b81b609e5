"""What the shards need to know of the fleet."""

from typing import Protocol


class FleetView(Protocol):
    """An eventually consistent view of the VMs of this region."""

    def live_ids(self) -> list[str]:
        """Return the ids of the other live VMs."""
        ...

    def is_listed(self, vm_id: str) -> bool:
        """Return whether the platform's list, as known here, holds `vm_id`."""
        ...

    def is_dropped(self) -> bool:
        """Return whether this VM was listed once and is missing from the list now."""
        ...

    def is_reader(self) -> bool:
        """Return whether this VM is one of those that read the platform's list."""
        ...

    def is_reachable(self, vm_id: str) -> bool:
        """Return whether this VM believes that it can reach `vm_id`."""
        ...
