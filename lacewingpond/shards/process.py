"""The name of one process of the fleet."""

from msgspec import Struct


class ProcessId(Struct, frozen=True):
    """A VM and one run of the daemon on it."""

    vm_id: str
    incarnation: str
