"""Address lookup for VMs."""

from typing import Protocol


class AddressBook(Protocol):
    """Maps VM ids to the addresses on which the VMs listen for peers."""

    def address(self, vm_id: str) -> str | None:
        """Return ``host:port`` of `vm_id`, or None if it is unknown."""
        ...


class FixedAddresses:
    """A fixed set of addresses; implements `AddressBook`."""

    __slots__ = ("_addresses",)

    def __init__(self, addresses: dict[str, str]) -> None:
        self._addresses = addresses

    def address(self, vm_id: str) -> str | None:
        """Return ``host:port`` of `vm_id`, or None if it is unknown."""
        return self._addresses.get(vm_id)
