"""Identity of one daemon process."""

from msgspec import Struct


class ProcessId(Struct, frozen=True):
    """A VM and the incarnation of the daemon on it."""

    vm_id: str
    incarnation: str
