"""Stand-in for an instance of a service, as PROTOCOL.md describes it."""

import asyncio
import json
import random
import time
from collections.abc import Callable

from lib.http_io import Message, encode, read_message
from lib.store import Store

HEARTBEAT_S = 1.5
ID = "X-Lacewingpond-Request-Id"
EXPECTED = "X-Lacewingpond-Expected-Instance"
NOT_RUN = "X-Lacewingpond-Not-Executed"
SIGNATURE = "X-Lacewingpond-Response-Signature"


class Instance:
    """Runs requests, and registers itself in the store.

    Attributes
    ----------
    work_s : float
        Time that a request takes.
    """

    def __init__(
        self,
        store: Store,
        instance_id: str,
        service: str,
        note: Callable[..., None],
        work_s: float = 0.02,
        zone: str = "zone-a",
        slots: int = 6,
    ) -> None:
        self.id = instance_id
        self.service = service
        self.work_s = work_s
        self.zone = zone
        self.slots = slots
        self.address = ""
        self._store = store
        self._note = note
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._running = 0
        self._queue = asyncio.Semaphore(slots)
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task | None = None
        self._state = "ready"

    async def start(self, host: str) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._beat = asyncio.create_task(self._heartbeat())

    def unregister(self) -> None:
        """Remove the entry without reporting `draining`; go on serving."""
        if self._beat is not None:
            self._beat.cancel()
        revision = self._store.delete(f"servers/{self.id}")
        self._note("instance", id=self.id, what="entry removed", revision=revision)

    def report_draining(self) -> None:
        """Report `draining`; go on serving."""
        self._state = "draining"
        self._write_entry()
        self._note("instance", id=self.id, what="reports draining")

    def exit(self) -> None:
        """Stop; requests at work are lost with their connections."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        self._note("instance", id=self.id, what="exits", at_work=self._running)
        for task in self._tasks:
            task.cancel()

    def _write_entry(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self._state,
            "warmup-left": "0ms",
            "sequence": self._sequence,
            "born": self._born,
        }
        self._store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def _heartbeat(self) -> None:
        self._write_entry()
        # Instances start at different times.
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while True:
            self._write_entry()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.8, 1.2))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                writer.write(await self._answer(message))
                await self._hand_over(writer)
        except ConnectionError:
            return
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _hand_over(self, writer: asyncio.StreamWriter) -> None:
        """Wait until the kernel has all bytes of an answer."""
        if not writer.transport.get_write_buffer_size():
            return
        began = time.monotonic()
        writer.transport.set_write_buffer_limits(high=0)
        try:
            await writer.drain()
            how = "handed over"
        except ConnectionError:
            how = "cut by its reader"
            raise
        finally:
            waited_s = round(time.monotonic() - began, 2)
            self._note("instance", id=self.id, what=how, waited_s=waited_s)

    async def _answer(self, message: Message) -> bytes:
        method, path, _ = message.first.split(" ")
        if method == "GET" and path == "/health":
            status = "200 OK" if self._state == "ready" else "503 Draining"
            return encode(
                f"HTTP/1.1 {status}", [("X-Lacewingpond-Instance-Id", self.id)]
            )
        request_id = message.get(ID) or ""
        expected = message.get(EXPECTED)
        if expected is not None and expected != self.id:
            headers = [("X-Lacewingpond-Instance-Id", self.id)]
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        if not request_id:
            return encode("HTTP/1.1 400 Bad Request", [(NOT_RUN, "1")])
        if self._queue.locked() and self._running > self.slots + 24:
            return encode("HTTP/1.1 503 Full", [(NOT_RUN, "1"), (ID, request_id)])
        self._note(
            "arrives",
            id=request_id,
            instance=self.id,
            service=self.service,
            request=f"{method} {path}",
            tenant=message.get("X-Lacewingpond-Tenant-Name"),
            body=message.body.decode("latin-1")[:64],
        )
        self._running += 1
        try:
            async with self._queue:
                await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        self._note("ran", id=request_id, instance=self.id)
        headers = [(ID, request_id), (SIGNATURE, f"s.{self.id}.{request_id}")]
        return encode("HTTP/1.1 200 OK", headers, f"done {request_id}".encode())
