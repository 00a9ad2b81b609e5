"""Consumers: one request on a new connection of its own."""

import asyncio
import itertools
import secrets

from rig_3.http1 import Message, read_message
from rig_3.record import Record

HOST = "jepu9.example"
_numbers = itertools.count(1)


def new_id() -> str:
    """Return the id of a new consumer attempt."""
    return f"{next(_numbers):04d}{secrets.token_hex(6)}"


async def send(
    record: Record,
    address: tuple[str, int],
    method: str,
    path: str,
    key: str,
    deadline_s: float,
    body: bytes = b"",
    request_id: str = "",
) -> Message | None:
    """Send one request and return its answer; None if there is none in time."""
    request_id = request_id or new_id()
    headers = {
        "Host": HOST,
        "X-Lacewingpond-Request-Id": request_id,
        "X-Lacewingpond-Request-Deadline-Ms": str(int(deadline_s * 1000)),
        "Authorization": f"Bearer {key}",
    }
    request = Message(f"{method} {path} HTTP/1.1", headers, body)
    size = len(body)
    record.add(f"client sends {request_id} {method} {path} {size} bytes to {address}")
    answer, writer = None, None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
            writer.write(request.encode())
            await writer.drain()
            answer = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        record.add(f"client gets no answer to {request_id}: {exc!r}")
        return None
    finally:
        if writer is not None:
            writer.close()
    shown = answer.start if answer is not None else "a closed connection"
    record.add(f"client gets {shown} for {request_id}")
    return answer
