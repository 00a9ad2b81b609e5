"""Stand-in of an instance: a sound server, which some requests may crash."""

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections.abc import Callable

from rig_3.http1 import Message, read_message
from rig_3.record import Record
from rig_3.store import Store

HEARTBEAT_S = 1.5
SILENT_BEATS = 3
SLOTS = 6
HOST = "127.0.0.2"
"""No client's address, so that no connection takes the port while it is down."""
QUEUE = 24
_RESET = struct.pack("ii", 1, 0)
ID = "x-lacewingpond-request-id"

CRASH_PATH = "crash"
"""Requests with this word in the path crash the instance that begins to run them."""


class Instance:
    """Runs requests in its slots and keeps its entry in the store.

    Parameters
    ----------
    name, service, zone : str
        Its id, service and zone.
    store : Store
        Where it registers.
    record : Record
        Receives what it runs.
    rng : random.Random
        Draws the duration of the work.
    work_s : float
        Mean duration of the work, in seconds.
    down_s : float
        How long it is down after a crash, in seconds.
    crashes : callable
        Returns whether a request crashes it.
    crash_after_s : float
        How long it runs such a request before it crashes, in seconds.

    Attributes
    ----------
    runs : list of (float, str, str)
        Time, request id and path of each request that it began to run.
    clock_ahead_s : float
        How far the time of day of its machine is ahead of the true time, in seconds.
    lost : list of str
        Ids of the requests at which it was at work as it ended.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        rng: random.Random,
        work_s: float,
        down_s: float = 3.0,
        crashes: Callable[[Message], bool] = lambda request: False,
        crash_after_s: float = 0.0,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.runs: list[tuple[float, str, str]] = []
        self.crash_count = 0
        self.clock_ahead_s = 0.0
        self.lost: list[str] = []
        self._state = "ready"
        self._has_left = False
        self._store, self._record, self._rng = store, record, rng
        self._work_s, self._down_s, self._crashes = work_s, down_s, crashes
        self._crash_after_s = crash_after_s
        self._writers: set[asyncio.StreamWriter] = set()
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._port = 0
        self._is_up = False
        self._silent_beats = 0
        self._tasks: set[asyncio.Task] = set()
        self._life = 0

    async def start(self) -> None:
        """Serve on a loopback port, the same one after each crash, and register."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self._port, limit=1 << 20
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self._is_up, self._sequence = True, 0
        self._born = int((time.time() + self.clock_ahead_s) * 1000)
        self._life += 1
        await self._beat()
        if self._life == 1:
            self._spawn(self._keep_beating())

    async def _keep_beating(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self._has_left:
                return
            if self._is_up:
                self._silent_beats = 0
                await self._beat()
                continue
            self._silent_beats += 1
            if self._silent_beats == SILENT_BEATS:
                await self._store.delete(f"servers/{self.name}")

    async def _beat(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self._port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self._state,
            "warmup-left": "0ms",
            "sequence": self._sequence,
            "born": self._born,
        }
        await self._store.put(f"servers/{self.name}", entry)

    def _spawn(self, work: object) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _crash(self) -> None:
        """End as a killed process does, and come back as a new lifetime."""
        self.crash_count += 1
        self._end()
        self._record.add(f"instance {self.name} crashes")
        self._spawn(self._come_back())

    def _end(self) -> None:
        """Stop to listen, and reset all connections."""
        self._is_up = False
        self._server.close()
        for writer in tuple(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()
        self._writers.clear()

    async def flap(self, down_s: float) -> None:
        """Go down and come up again under the same id."""
        self._end()
        self._record.add(f"instance {self.name} goes down")
        await asyncio.sleep(down_s)
        await self.start()
        self._record.add(f"instance {self.name} is up, born {self._born}")

    async def leave(self, serves_s: float) -> float:
        """Report `draining`, serve on for a time, then exit.

        Returns
        -------
        float
            Time at which the store accepted the report.
        """
        self._state = "draining"
        await self._beat()
        accepted_at = self._record.now()
        self._record.add(f"the store has accepted that {self.name} is draining")
        await asyncio.sleep(serves_s)
        self._has_left = True
        self._end()
        await self._store.delete(f"servers/{self.name}")
        self._record.add(f"instance {self.name} has left")
        return accepted_at

    async def _come_back(self) -> None:
        await asyncio.sleep(self._down_s)
        await self.start()
        self._record.add(f"instance {self.name} is back")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        life = self._life
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request, life)
                if answer is None or life != self._life or not self._is_up:
                    return
                writer.write(answer.encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the daemon has closed the connection, or the case has ended
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, life: int) -> Message | None:
        headers = request.headers
        request_id = headers.get(ID, "")
        echo = {"X-Lacewingpond-Request-Id": request_id}
        path = request.start.split(" ")[1]
        if path == "/health":
            me = {"X-Lacewingpond-Instance-Id": self.name}
            return Message("HTTP/1.1 200 OK", me)
        if headers.get("x-lacewingpond-expected-instance") not in (None, self.name):
            echo["X-Lacewingpond-Instance-Id"] = self.name
            return Message("HTTP/1.1 421 Misdirected Request", echo)
        if self._waiting >= SLOTS + QUEUE:
            echo["X-Lacewingpond-Not-Executed"] = "1"
            return Message("HTTP/1.1 503 Service Unavailable", echo)
        self._waiting += 1
        try:
            async with self._slots:
                if life != self._life or not self._is_up:
                    return None
                return await self._run(request, request_id, path, echo, life)
        finally:
            self._waiting -= 1

    async def _run(
        self, request: Message, request_id: str, path: str, echo: dict, life: int
    ) -> Message | None:
        self.runs.append((self._record.now(), request_id, path))
        size = len(request.body)
        self._record.add(f"instance {self.name} runs {request_id} {path} {size} bytes")
        if self._crashes(request):
            await asyncio.sleep(self._crash_after_s)
            if life == self._life and self._is_up:
                self._crash()
            return None
        await asyncio.sleep(self._work_s * self._rng.uniform(0.5, 1.5))
        if life != self._life or not self._is_up:
            self.lost.append(request_id)
            self._record.add(f"instance {self.name} had {request_id} as it ended")
            return None
        echo["X-Lacewingpond-Response-Signature"] = f"{self.name}.{request_id}"
        return Message("HTTP/1.1 200 OK", echo, f"done {request_id}".encode())
