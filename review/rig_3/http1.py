"""The little of HTTP/1.1 that the stand-ins need."""

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes
    ----------
    start : str
        Request line or status line.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        The whole body.
    """

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])

    def encode(self) -> bytes:
        """Return the bytes of the message, with the length of its body."""
        lines = [self.start, *(f"{k}: {v}" for k, v in self.headers.items())]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None at the end of the stream before its first byte.

    Raises
    ------
    asyncio.IncompleteReadError
        If the stream ends within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if not exc.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    message = Message(lines[0], {k.lower(): v.strip() for k, _, v in pairs})
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    else:
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    blocks: list[bytes] = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        block = await reader.readexactly(size)
        while (await reader.readline()).strip() and not size:
            pass
        if not size:
            return b"".join(blocks)
        blocks.append(block)
