"""Interface that finds the address of a VM."""

from typing import Protocol


class AddressBook(Protocol):
    """Knows where VMs listen for peers."""

    def address(self, vm_id: str) -> str | None:
        """Return ``host:port`` of `vm_id`, or None when it is not known."""
        ...


class FixedAddresses:
    """Addresses that are given once, for tests and small set-ups."""

    __slots__ = ("_addresses",)

    def __init__(self, addresses: dict[str, str]) -> None:
        self._addresses = addresses

    def address(self, vm_id: str) -> str | None:
        """Return ``host:port`` of `vm_id`, or None when it is not known."""
        return self._addresses.get(vm_id)
