"""Minimal HTTP/1.1 messages over asyncio streams, for the stand-ins."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response: its first line, its headers and its body."""

    first: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.append((name, value.strip()))
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body that the headers of `message` declare."""
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        blocks = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            blocks.append(await reader.readexactly(size))
            await reader.readline()
            if size == 0:
                break
        message.body = b"".join(blocks)
        return
    length = int(message.get("Content-Length") or 0)
    if length:
        message.body = await reader.readexactly(length)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole message; None if the stream ends before it does."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        await read_body(reader, message)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


def encode(first: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a declared length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
