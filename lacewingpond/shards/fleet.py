"""Interface to the membership that shard ownership depends on."""

from typing import Protocol


class FleetView(Protocol):
    """An eventually consistent view of the VMs of this region."""

    def live_ids(self) -> list[str]:
        """Return the ids of all live VMs but this one."""
        ...

    def is_listed(self, vm_id: str) -> bool:
        """Return whether the last known copy of the platform's VM list has `vm_id`."""
        ...

    def is_delisted(self) -> bool:
        """Return whether this VM was in the VM list before and is missing now."""
        ...

    def is_list_reader(self) -> bool:
        """Return whether this VM is one of those that read the VM list directly."""
        ...

    def is_reachable(self, vm_id: str) -> bool:
        """Return whether `vm_id` currently counts as reachable from this VM."""
        ...
