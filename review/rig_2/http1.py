"""Minimal HTTP/1.1 messages over asyncio streams."""

import asyncio

MAX_LINE_BYTES = 65_536


class Message:
    """A request or a response: its first line, headers and body."""

    def __init__(self, start: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        lowered = name.lower()
        return next((v for n, v in self.headers if n.lower() == lowered), None)

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    message = Message(lines[0], headers, b"")
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    else:
        message.body = await reader.readexactly(int(message.get("Content-Length") or 0))
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    blocks = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        block = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return b"".join(blocks)
        blocks.append(block)


def response(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
