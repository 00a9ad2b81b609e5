"""Bound on the memory of responses that their callers do not read."""

from collections import OrderedDict
from typing import Protocol

MAX_UNREAD_BYTES = 33_554_432
"""Bytes held for callers that accept none; a sixth of the smallest VM's memory."""
UNREAD_OVERHEAD_BYTES = 65_536
"""What a response holds beside its body: connections, parsers and buffers."""


class BlockedResponse(Protocol):
    """A response whose caller accepts no bytes now."""

    was_cut: bool


class UnreadResponses:
    """Responses that wait for their callers, from the longest wait to the shortest.

    Beyond `max_bytes` those are cut whose callers have read nothing for the longest
    time, so that targets that send without end and callers that do not read can't use
    up the memory of the VM.

    Parameters
    ----------
    max_bytes : int
        Most bytes that are held for them.

    Attributes
    ----------
    held_bytes : int
        Bytes that are held now, overhead included, without responses that were cut.
    """

    __slots__ = ("held_bytes", "_max_bytes", "_held")

    def __init__(self, max_bytes: int = MAX_UNREAD_BYTES) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._held: OrderedDict[BlockedResponse, int] = OrderedDict()

    def enter(self, response: BlockedResponse, size: int) -> None:
        """Record that a response with `size` bytes begins to wait; cut others."""
        self._held[response] = size + UNREAD_OVERHEAD_BYTES
        self.held_bytes += self._held[response]
        while self.held_bytes > self._max_bytes and len(self._held) > 1:
            oldest = next(iter(self._held))
            oldest.was_cut = True
            self.leave(oldest)

    def touch(self, response: BlockedResponse) -> None:
        """Record that the caller of a waiting response has read some bytes."""
        if response in self._held:
            self._held.move_to_end(response)

    def leave(self, response: BlockedResponse) -> None:
        """Record that a response waits no longer; does nothing if it was cut."""
        self.held_bytes -= self._held.pop(response, 0)
