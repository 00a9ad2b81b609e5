"""Interface for messages between VMs."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from msgspec import Struct
from result import Result


class Message(Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages between VMs.

    A message is encoded as an array that starts with its class name, so the names of
    message classes must be unique within the project.
    """


class PeerFailure(Enum):
    """Whether a call without a response may have had an effect."""

    NOT_SENT = "not-sent"
    """No byte of the message has left this VM."""
    UNKNOWN = "unknown"
    """The peer may have handled the message."""


class PeerError(Struct, frozen=True):
    """Why a call got no response."""

    failure: PeerFailure
    detail: str = ""


Handler = Callable[[str, Message], Message | None]
"""Called with the sender's VM id and its message; returns the response, if any."""


class PeerChannel(Protocol):
    """Sends messages to other VMs and dispatches received ones to handlers."""

    def call(
        self, vm_id: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Send `message` and return its response, or why there is none."""
        ...

    def send(self, vm_id: str, message: Message) -> bool:
        """Queue `message` without waiting; return False if it was dropped."""
        ...

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Set the handler of all received messages of class `kind`."""
        ...
