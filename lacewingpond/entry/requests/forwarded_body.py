"""A response body that is forwarded as it arrives."""

from collections.abc import Iterator

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


def read_response(response: TargetResponse) -> Response:
    """Return a response whose body was read, or is forwarded if it is long.

    Raises
    ------
    TruncatedResponseError
        If the body ends early.
    """
    blocks, size = [], 0
    for block in response:
        blocks.append(block)
        size += len(block)
        if size > MAX_BUFFERED_BYTES:
            body = ForwardedBody(blocks, response)
            return Response(response.status, response.headers, body, response.reason)
    body = b"".join(blocks)
    return Response(response.status, response.headers, body, response.reason)
