"""What one VM knows of another, in a form that merges in any order."""

from enum import IntEnum

import msgspec
from msgspec import Struct

from lacewingpond.store.base import VmRecord, VmState


class MemberStatus(IntEnum):
    """State of a VM; of two records with one version the higher state wins."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


class MemberRecord(Struct, frozen=True, array_like=True):
    """A VM, its state and the version of that state.

    Parameters
    ----------
    vm_id, address, failure_domain, region : str
        As the platform lists them.
    status : MemberStatus
        What is believed of the VM.
    version : int
        Raised by the VM itself to contradict a suspicion, and by a reader of the
        list when a VM is listed again.
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
        """Return the VM in the form of the platform's list."""
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
        """Return the record with another status."""
        version = self.version + raise_version
        return msgspec.structs.replace(self, status=status, version=version)
