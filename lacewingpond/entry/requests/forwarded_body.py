"""A response body that is forwarded as it arrives."""

from collections import deque
from collections.abc import Iterator

from lacewingpond.entry.requests.read_ahead import ReadAhead
from lacewingpond.http.response import Response
from lacewingpond.targets.response import TargetResponse

# Responses up to this size are read whole and checked before they are forwarded;
# longer ones are streamed.
MAX_BUFFERED_BYTES = 262_144


class ForwardedBody:
    """The blocks that were already read, then the rest of a target's response.

    Not a generator: closing one that has not started would not close the response.

    Parameters
    ----------
    blocks : list of bytes
        The part that was already read. Blocks are dropped as they are forwarded.
    response : TargetResponse
        Source of the rest.
    """

    __slots__ = ("held_bytes", "_blocks", "_response")

    def __init__(self, blocks: list[bytes], response: TargetResponse) -> None:
        self._blocks = deque(blocks)
        self._response = response
        self.held_bytes = sum(map(len, blocks))

    def __iter__(self) -> Iterator[bytes]:
        while self._blocks:
            block = self._blocks.popleft()
            self.held_bytes -= len(block)
            yield block
        yield from self._response

    def close(self) -> None:
        """End the use of the response."""
        self._response.close()


def read_response(response: TargetResponse, read_ahead: ReadAhead) -> Response:
    """Return a response whose body was read, or is forwarded if it is long.

    It is also forwarded if no more bytes may be read ahead.

    Raises
    ------
    TruncatedResponseError
        If the body ends early.
    """
    blocks, size, taken = [], 0, 0
    try:
        for block in response:
            blocks.append(block)
            size += len(block)
            if size > MAX_BUFFERED_BYTES or not read_ahead.take(len(block)):
                body = ForwardedBody(blocks, response)
                return Response(
                    response.status, response.headers, body, response.reason
                )
            taken = size
    finally:
        read_ahead.release(taken)
    body = b"".join(blocks)
    return Response(response.status, response.headers, body, response.reason)
