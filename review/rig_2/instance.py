"""Stand-in of an instance, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import json
import time

from rig_2.http1 import Message, read_message, response
from rig_2.record import Record
from rig_2.store import Store

HEARTBEAT_S = 1.5
SLOTS = 6
QUEUE = 24


class Instance:
    """Serves requests, one at a time on a connection, and registers in the store.

    Attributes
    ----------
    arrivals : list of (float, str, str)
        Monotonic time, request id and outcome (`runs`, `full` or `other`) of each
        request that reached it.
    running : set of str
        Ids of the requests at work.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: tuple[str, int],
        zone: str,
        work_s: float,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.work_s = work_s
        self.arrivals: list[tuple[float, str, str]] = []
        self.running: set[str] = set()
        self.state = "ready"
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None
        self._record: Record | None = None

    async def start(self, store: Store, record: Record) -> None:
        """Listen and register."""
        self._record = record
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._beats = asyncio.get_running_loop().create_task(self._beat(store))

    def entry(self) -> bytes:
        """Return its next entry in the store."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": SLOTS,
                "state": self.state,
                "warmup-left": "0ms",
                "sequence": self._sequence,
                "born": self._born,
            }
        ).encode()

    async def leave(self, store: Store) -> None:
        """Remove the entry, and go on serving until `stop`."""
        self._beats.cancel()
        await store.change({}, (f"servers/{self.name}",))

    def stop(self) -> None:
        """Exit: stop listening and break off all connections."""
        if self._beats is not None:
            self._beats.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _beat(self, store: Store) -> None:
        while True:
            await store.change({f"servers/{self.name}": self.entry()})
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_message(reader)) is not None:
                writer.write(await self._answer(req))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, req: Message) -> bytes:
        if req.target == "/health":
            headers = [("X-Lacewingpond-Instance-Id", self.name)]
            return response(200 if self.state == "ready" else 503, headers, b"")
        request_id = req.get("X-Lacewingpond-Request-Id") or ""
        headers = [
            ("X-Lacewingpond-Request-Id", request_id),
            ("Keep-Alive", "timeout=10"),
        ]
        expected = req.get("X-Lacewingpond-Expected-Instance")
        if expected not in (None, self.name):
            self._note(request_id, "other")
            headers.append(("X-Lacewingpond-Instance-Id", self.name))
            return response(421, headers, b"")
        if self._waiting >= QUEUE:
            self._note(request_id, "full")
            headers.append(("X-Lacewingpond-Not-Executed", "1"))
            return response(503, headers, b"")
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            self._note(request_id, "runs")
            self.running.add(request_id)
            await asyncio.sleep(self.work_s)
        finally:
            self.running.discard(request_id)
            self._slots.release()
        headers.append(
            ("X-Lacewingpond-Response-Signature", f"{self.name}.{request_id}")
        )
        with contextlib.suppress(ValueError):
            left_s = int(req.get("X-Lacewingpond-Request-Deadline-Ms") or "") / 1000.0
            if left_s < self.work_s:
                return response(504, headers, b"late")
        return response(200, headers, f"done {request_id}".encode())

    def _note(self, request_id: str, outcome: str) -> None:
        self.arrivals.append((time.monotonic(), request_id, outcome))
        self._record.line(f"{self.name} {outcome} {request_id}")
