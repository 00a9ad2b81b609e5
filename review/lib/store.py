"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from lib.http_io import encode, read_message

HISTORY_S = 20.0
PAGE_ITEMS = 500
ANSWER_S = 0.004


def seconds(text: str) -> float:
    """Return the seconds of a duration such as ``1500ms`` or ``2.5s``."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000.0
    return float(text[:-1])


class Store:
    """Keys, leases and watches in memory, served over HTTP.

    Attributes
    ----------
    silent_for : set of str
        Callers that get no answers.
    on_watch : callable or None
        Called with the caller, the events and the waiting time of each watch that is
        answered.
    """

    def __init__(self, note: Callable[..., None]) -> None:
        self.silent_for: set[str] = set()
        self.on_watch: Callable[[str, list[dict], float], None] | None = None
        self._note = note
        self._revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[tuple[float, dict]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_number = 7000
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._watchers: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []
        self._sweeper: asyncio.Task | None = None

    async def listen(self, host: str, caller: str) -> str:
        """Return a new address of the store, for the calls of one caller."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(caller, reader, writer)

        server = await asyncio.start_server(serve, host, 0)
        self._servers.append(server)
        if self._sweeper is None:
            self._sweeper = asyncio.create_task(self._expire_leases())
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Close all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as the operator and the instances do; return the revision."""
        self._revision += 1
        created = self._items.get(key, {}).get("created", self._revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._add_event(item)
        return self._revision

    def delete(self, key: str) -> int:
        """Remove a key; return the revision."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._add_event(event)
        return self._revision

    def keys(self, prefix: str) -> list[str]:
        """Return the present keys below a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def cut_waiting_watches(self) -> int:
        """Cut the connections of the watches that wait; return their number."""
        cut = list(self._watchers)
        self._watchers.clear()
        for writer in cut:
            writer.close()
            self._note("store", what="waiting watch cut")
        return len(cut)

    def _add_event(self, event: dict) -> None:
        now = time.monotonic()
        self._events.append((now, event))
        while self._events and self._events[0][0] < now - HISTORY_S:
            self._events.pop(0)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [k for k, (_, end) in self._leases.items() if end < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is None:
            return
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _serve(
        self, caller: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                await self._hang_if_silent(caller)
                method, target, _ = message.first.split(" ")
                began = time.monotonic()
                status, body = await self._call(method, target, message.body, writer)
                waited_s = time.monotonic() - began
                await asyncio.sleep(ANSWER_S)
                await self._hang_if_silent(caller)
                raw = json.dumps(body).encode()
                first = f"HTTP/1.1 {status} Status"
                writer.write(encode(first, [("Content-Type", "application/json")], raw))
                await writer.drain()
                if "events" in body and self.on_watch is not None:
                    self.on_watch(caller, body["events"], waited_s)
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _hang_if_silent(self, caller: str) -> None:
        """Give no answer, also later, to a call that came while it was cut off."""
        if caller in self.silent_for:
            await asyncio.sleep(3600.0)

    async def _call(
        self, method: str, target: str, body: bytes, writer: asyncio.StreamWriter
    ) -> tuple[int, dict]:
        parts = urlsplit(target)
        names = parts.path.split("/")[2:]
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if (method, names[0]) == ("GET", "kv-range"):
            return self._range(query)
        if (method, names[0]) == ("GET", "kv-watch"):
            return await self._watch(query, writer)
        if (method, names[0]) == ("POST", "kv-txn"):
            return self._transaction(json.loads(body))
        if (method, names[0]) == ("POST", "kv-lease"):
            return self._grant(json.loads(body))
        if (method, names[0]) == ("POST", "kv-keep"):
            return self._keep(int(names[1]))
        if (method, names[0]) == ("DELETE", "kv-lease-end"):
            self._end_lease(int(names[1]))
            return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict]:
        after, prefix = query.get("after"), query.get("prefix", "")
        keys = [k for k in self.keys(prefix) if after is None or k > after]
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {
            "items": items,
            "more-pages": len(keys) > PAGE_ITEMS,
            "current-rev": self._revision,
        }

    async def _watch(
        self, query: dict[str, str], writer: asyncio.StreamWriter
    ) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query.get("wait-ms", "0")) / 1000.0
        self._watchers.add(writer)
        try:
            while True:
                events = [
                    event
                    for _, event in self._events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0.0:
                    return 200, {"events": events, "current-rev": self._revision}
                changed = self._changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except TimeoutError:
                    continue
        finally:
            self._watchers.discard(writer)

    def _transaction(self, change: dict) -> tuple[int, dict]:
        for row in change.get("expected-rev", ()):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in change.get("puts", ()):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease") and put["lease"] not in self._leases:
                return 404, {}
        for put in change.get("puts", ()):
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in change.get("deletes", ()):
            self.delete(key)
        return 200, {"revision": self._revision}

    def _grant(self, body: dict) -> tuple[int, dict]:
        self._lease_number += 1
        ttl_s = max(seconds(body["ttl_time"]), 1.0)
        self._leases[self._lease_number] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": self._lease_number, "ttl_time": body["ttl_time"]}

    def _keep(self, lease: int) -> tuple[int, dict]:
        if lease not in self._leases:
            return 404, {}
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttl_time": f"{int(ttl_s * 1000)}ms"}
