"""Stand-ins of consumers."""

import asyncio
import time

from rig_2.http1 import read_message
from rig_2.record import Record


class Answer:
    """What a consumer got: status 0 stands for a connection without an answer."""

    def __init__(self, status: int, body: bytes, signed: bool) -> None:
        self.status = status
        self.body = body
        self.signed = signed


async def send(
    front: tuple[str, int],
    request_id: str,
    method: str,
    host: str,
    path: str,
    key: str,
    deadline_ms: int,
    record: Record,
    body: bytes = b"",
) -> Answer:
    """Send one request on a new connection and return its answer."""
    record.line(f"client sends {request_id} {method} {path} to {front[0]}")
    answer = Answer(0, b"", False)
    try:
        async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
            answer = await _exchange(
                front, request_id, method, host, path, key, deadline_ms, body
            )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        record.line(f"client error {request_id} {type(exc).__name__}")
    record.line(f"client gets {answer.status} for {request_id}")
    return answer


async def _exchange(
    front: tuple[str, int],
    request_id: str,
    method: str,
    host: str,
    path: str,
    key: str,
    deadline_ms: int,
    body: bytes,
) -> Answer:
    reader, writer = await asyncio.open_connection(*front)
    try:
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"X-Lacewingpond-Request-Id: {request_id}",
            f"X-Lacewingpond-Request-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {key}",
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        got = await read_message(reader)
        if got is None:
            return Answer(0, b"", False)
        signed = got.get("X-Lacewingpond-Response-Signature") is not None
        return Answer(got.status, got.body, signed)
    finally:
        writer.close()


async def wait_ready(ready: tuple[str, int], timeout_s: float) -> bool:
    """Ask as the platform does until the daemon says that it is ready."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(*ready)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            got = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            if got is not None and got.status == 200:
                return True
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.2)
    return False
