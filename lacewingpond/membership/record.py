"""Records of VMs, which can be merged in any order with the same result."""

from enum import IntEnum

import msgspec
from msgspec import Struct

from lacewingpond.store.base import VmRecord, VmState


class MemberStatus(IntEnum):
    """Status of a VM; of two records with equal version the higher status wins."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


class MemberRecord(Struct, frozen=True, array_like=True):
    """A VM, its status and the version of that status.

    Parameters
    ----------
    vm_id, address, failure_domain, region : str
        As in the platform's list.
    status : MemberStatus
        Status of the VM as known to the sender or holder of the record.
    version : int
        Raised by the VM itself to refute a suspicion, and by a reader of the list
        when a VM is listed again.
    """

    vm_id: str
    address: str
    failure_domain: str
    region: str
    status: MemberStatus = MemberStatus.LIVE
    version: int = 0

    @classmethod
    def from_listed(cls, vm: VmRecord) -> "MemberRecord":
        """Return the record of a VM in the platform's list."""
        leaving = vm.state is VmState.LEAVING
        status = MemberStatus.LEAVING if leaving else MemberStatus.LIVE
        return cls(vm.vm_id, vm.address, vm.failure_domain, vm.region, status)

    def to_vm(self) -> VmRecord:
        """Return the VM as an entry of the platform's list."""
        leaving = self.status is MemberStatus.LEAVING
        return VmRecord(
            vm_id=self.vm_id,
            address=self.address,
            failure_domain=self.failure_domain,
            region=self.region,
            state=VmState.LEAVING if leaving else VmState.LIVE,
        )

    def replaces(self, other: "MemberRecord | None") -> bool:
        """Return whether this record is newer than `other`."""
        if other is None:
            return self.status is not MemberStatus.GONE
        return (self.version, self.status) > (other.version, other.status)

    def with_status(
        self, status: MemberStatus, raise_version: int = 0
    ) -> "MemberRecord":
        """Return the record with `status` and its version raised by `raise_version`."""
        version = self.version + raise_version
        return msgspec.structs.replace(self, status=status, version=version)
