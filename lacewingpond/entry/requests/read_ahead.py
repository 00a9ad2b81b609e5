"""Bound on the memory of responses that are read before they are forwarded."""

MAX_READ_AHEAD_BYTES = 33_554_432
"""Bytes of all responses that are read ahead; a sixth of the smallest VM's memory."""


class ReadAhead:
    """Counts the bytes that are read ahead, over all requests of a daemon.

    Parameters
    ----------
    max_bytes : int
        Most bytes; a response that gets no more is forwarded as it arrives.

    Attributes
    ----------
    held_bytes : int
        Bytes that are held now.
    """

    __slots__ = ("held_bytes", "_max_bytes")

    def __init__(self, max_bytes: int = MAX_READ_AHEAD_BYTES) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes

    def take(self, size: int) -> bool:
        """Take `size` bytes; return False if there are not as many left."""
        if self.held_bytes + size > self._max_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return bytes that were taken."""
        self.held_bytes -= size
