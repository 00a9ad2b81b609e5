"""Interface through which the daemons' parts talk to other VMs."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from msgspec import Struct
from result import Result


class Message(Struct, frozen=True, tag=True, array_like=True):
    """Base of all typed messages between VMs.

    A subclass is sent as an array that starts with its class name, so names of
    message classes are unique within the project.
    """


class PeerFailure(Enum):
    """What is known of a call that got no answer."""

    NOT_SENT = "not-sent"
    """No byte of the message has left this VM."""
    UNKNOWN = "unknown"
    """The peer may have acted on the message."""


class PeerError(Struct, frozen=True):
    """A call without an answer, and why."""

    failure: PeerFailure
    detail: str = ""


Handler = Callable[[str, Message], Message | None]
"""Takes the sender's VM id and its message; returns the answer, if any."""


class PeerChannel(Protocol):
    """Sends messages to other VMs and hands arriving ones to their handlers."""

    def call(
        self, vm_id: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Send `message` and wait for its answer."""
        ...

    def send(self, vm_id: str, message: Message) -> bool:
        """Queue `message` without waiting; False when it was dropped."""
        ...

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Let `handler` take all arriving messages of class `kind`."""
        ...
