"""A response body that is forwarded as it arrives."""

from collections.abc import Iterator

from lacewingpond.targets.response import TargetResponse


class ForwardedBody:
    """The blocks that were already read, then the rest of a target's response.

    Not a generator: closing one that has not started would not close the response.

    Parameters
    ----------
    blocks : list of bytes
        The part that was already read.
    response : TargetResponse
        Source of the rest.
    """

    __slots__ = ("_blocks", "_response")

    def __init__(self, blocks: list[bytes], response: TargetResponse) -> None:
        self._blocks = blocks
        self._response = response

    def __iter__(self) -> Iterator[bytes]:
        yield from self._blocks
        yield from self._response

    def close(self) -> None:
        """End the use of the response."""
        self._response.close()
