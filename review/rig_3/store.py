"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import contextlib
import json
import time
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from rig_3.http1 import Message, read_message

PAGE_ITEMS = 50
EXPIRY_CHECK_S = 0.05


@dataclass(slots=True)
class Item:
    """One key; `value` is None once it is deleted."""

    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int = 0

    def shown(self) -> dict:
        """Return the item as the store's answers show it."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class Store:
    """Items, leases and the whole history, served over HTTP.

    Attributes
    ----------
    is_busy : bool
        Whether it answers all calls of daemons with 503 and does nothing.
    """

    def __init__(self) -> None:
        self.address = ""
        self.is_busy = False
        self._items: dict[str, Item] = {}
        self._history: list[Item] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Condition()
        self._tasks: list[asyncio.Task] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Serve on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._tasks.append(asyncio.create_task(self._expire()))

    async def put(self, key: str, value: dict, lease: int = 0) -> int:
        """Write a JSON value, as the operator and the instances do."""
        return await self._apply([(key, json.dumps(value).encode(), lease)], [])

    async def delete(self, key: str) -> None:
        """Delete a key."""
        await self._apply([], [key])

    async def lapse(self) -> None:
        """End all leases, as they run out while the store is down."""
        for lease in list(self._leases):
            await self._end_lease(lease)

    async def _apply(self, puts: list[tuple], deletes: list[str]) -> int:
        self._revision += 1
        for key, value, lease in puts:
            old = self._items.get(key)
            created = old.created if old else self._revision
            item = Item(key, value, self._revision, created, lease)
            self._items[key] = item
            self._history.append(item)
        for key in deletes:
            if self._items.pop(key, None) is not None:
                self._history.append(Item(key, None, self._revision, 0))
        async with self._changed:
            self._changed.notify_all()
        return self._revision

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            now = time.monotonic()
            for lease, (until, _) in list(self._leases.items()):
                if until <= now:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self._items.items() if item.lease == lease]
        if keys:
            await self._apply([], keys)
        return True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, body = 503, {}
                if not self.is_busy:
                    status, body = await self._answer(request)
                head = {"Content-Type": "application/json"}
                data = json.dumps(body).encode()
                writer.write(Message(f"HTTP/1.1 {status} X", head, data).encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the daemon has gone, or the case has ended
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        method, target, _ = request.start.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, True).items()}
        name, _, argument = url.path.removeprefix("/api/").partition("/")
        body = json.loads(request.body) if request.body else {}
        if (method, name) == ("GET", "kv-range"):
            return 200, self._range(query)
        if (method, name) == ("GET", "kv-key"):
            item = self._items.get(query["key"])
            return (200, item.shown()) if item else (404, {})
        if (method, name) == ("GET", "kv-watch"):
            return 200, await self._watch(query)
        if (method, name) == ("POST", "kv-txn"):
            return await self._transact(body)
        if (method, name) == ("POST", "kv-lease"):
            ttl = body["ttl_time"]
            scale = 0.001 if ttl.endswith("ms") else 1.0
            ttl_s = float(ttl.removesuffix("ms").removesuffix("s")) * scale
            self._revision += 1
            self._leases[self._revision] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": self._revision, "ttl_time": ttl}
        if (method, name) == ("POST", "kv-keep"):
            found = self._leases.get(int(argument))
            if found is None:
                return 404, {}
            self._leases[int(argument)] = (time.monotonic() + found[1], found[1])
            return 200, {"ttl_time": f"{int(found[1] * 1000)}ms"}
        if (method, name) == ("DELETE", "kv-lease-end"):
            return (200 if await self._end_lease(int(argument)) else 404), {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict:
        after = query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(query["prefix"]))
        keys = [key for key in keys if key > after]
        shown = [self._items[key].shown() for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"items": shown, "more-pages": more, "current-rev": self._revision}

    async def _watch(self, query: dict[str, str]) -> dict:
        after, deadline = int(query["after"]), int(query["wait-ms"]) / 1000.0

        def events() -> list[dict]:
            return [
                item.shown()
                for item in self._history
                if item.revision > after and item.key.startswith(query["prefix"])
            ]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(events), deadline)
        return {"events": events(), "current-rev": self._revision}

    async def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body.get("expected-rev", []):
            item = self._items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": [item.shown()] if item else []}
        puts = [
            (put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for put in body.get("puts", [])
        ]
        if any(lease and lease not in self._leases for _, _, lease in puts):
            return 404, {}
        return 200, {"revision": await self._apply(puts, body.get("deletes", []))}
