"""Address lookup for a peer channel that is created before the membership."""

from lacewingpond.peers.addresses import AddressBook


class DeferredAddresses:
    """Delegates to an address book that is set later; implements `AddressBook`.

    Attributes
    ----------
    delegate : AddressBook or None
        The address book; all addresses are unknown until it is set.
    """

    __slots__ = ("delegate",)

    def __init__(self) -> None:
        self.delegate: AddressBook | None = None

    def address(self, vm_id: str) -> str | None:
        """Return ``host:port`` of `vm_id`, or None if it is unknown."""
        return None if self.delegate is None else self.delegate.address(vm_id)
