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


class LateAddresses:
    """An address book that is set after the channel which asks it was made.

    Attributes
    ----------
    book : AddressBook or None
        Asked for each address; None knows no address.
    """

    __slots__ = ("book",)

    def __init__(self) -> None:
        self.book: AddressBook | None = None

    def address(self, vm_id: str) -> str | None:
        """Return ``host:port`` of `vm_id`, or None when it is not known."""
        return None if self.book is None else self.book.address(vm_id)
