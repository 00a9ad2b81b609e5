"""Ordinary consumers that send non-idempotent requests at a steady rate."""

import asyncio

from rig_3.client import new_id, send
from rig_3.daemon import Daemon
from rig_3.fleet import KEY, RUN_PREFIX, Fleet
from rig_3.http1 import Message
from rig_3.record import Record

PATH = f"{RUN_PREFIX}book"
DEADLINE_S = 8.0
BODY_BYTES = 1200


class Traffic:
    """Sends requests, each on a new connection, and keeps their answers.

    Attributes
    ----------
    sent : dict of str to (float, Daemon)
        Time, and daemon, of each request by its id.
    answers : dict of str to Message or None
        The answers of the requests that have ended.
    """

    def __init__(self, record: Record) -> None:
        self.sent: dict[str, tuple[float, Daemon]] = {}
        self.answers: dict[str, Message | None] = {}
        self._record = record
        self._tasks: set[asyncio.Task] = set()

    async def run(self, fleet: Fleet, per_s: float) -> None:
        """Send requests until cancelled."""
        while True:
            task = asyncio.create_task(self._send(fleet.pick()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1.0 / per_s)

    async def _send(self, daemon: Daemon) -> None:
        request_id = new_id()
        body = request_id.encode().ljust(BODY_BYTES, b"x")
        self.sent[request_id] = (self._record.now(), daemon)
        self.answers[request_id] = await send(
            self._record, daemon.front, "POST", PATH, KEY, DEADLINE_S, body, request_id
        )
