"""Addresses of VMs from a membership that is made later than its channel."""

from lacewingpond.peers.addresses import AddressBook


class LateAddresses:
    """An address book that passes on to another one, once there is one."""

    __slots__ = ("book",)

    def __init__(self) -> None:
        self.book: AddressBook | None = None

    def address(self, vm_id: str) -> str | None:
        """Return ``host:port`` of `vm_id`, or None when it is not known."""
        return None if self.book is None else self.book.address(vm_id)
