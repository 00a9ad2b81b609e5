"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import itertools
import json
import time
from urllib.parse import parse_qs, urlsplit

from rig_2.http1 import Message, read_message, response

MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
ANSWER_S = 0.004


class Store:
    """Items, leases, watches and transactions; all calls are linearizable.

    Attributes
    ----------
    answer_s : float
        How long an answer takes, in seconds.
    page_items : int
        Most items of one page.
    calls : list of (float, str)
        Time and path of each call.
    """

    def __init__(self) -> None:
        self.answer_s = ANSWER_S
        self.page_items = MAX_PAGE_ITEMS
        self.calls: list[tuple[float, str]] = []
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count(7000)
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen, and let leases run out."""
        self._server = await asyncio.start_server(self._serve, host, port)
        asyncio.get_running_loop().create_task(self._expire())

    async def change(
        self, puts: dict[str, bytes], deletes: tuple[str, ...] = (), lease: int = 0
    ) -> int:
        """Write and delete keys in one step, and return the revision."""
        self.revision += 1
        for key, value in puts.items():
            known = self.items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.history.append(item)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                gone = {"key": key, "revision": self.revision, "deleted": True}
                self.history.append(gone)
        async with self._changed:
            self._changed.notify_all()
        return self.revision

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (until, _) in list(self._leases.items()):
                if until <= now:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = tuple(k for k, i in self.items.items() if i["lease"] == lease)
        if keys:
            await self.change({}, keys)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (req := await read_message(reader)) is not None:
                self.calls.append((time.monotonic(), req.target))
                status, body = await self._answer(req)
                await asyncio.sleep(self.answer_s)
                headers = [("Content-Type", "application/json")]
                writer.write(response(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, req: Message) -> tuple[int, dict]:
        url = urlsplit(req.target)
        query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
        body = json.loads(req.body) if req.body else {}
        if url.path == "/api/kv-range":
            return 200, self._range(query)
        if url.path == "/api/kv-key":
            item = self.items.get(query["key"])
            rev = {"current-rev": self.revision}
            return (404, rev) if item is None else (200, {**item, **rev})
        if url.path == "/api/kv-watch":
            return 200, await self._watch(query)
        if url.path == "/api/kv-txn":
            return await self._transact(body)
        if url.path == "/api/kv-lease":
            ttl_s = _seconds(body["ttl_time"])
            lease = next(self._numbers)
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": lease, "ttl_time": body["ttl_time"]}
        lease = int(url.path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        ttl_s = self._leases[lease][1]
        if url.path.startswith("/api/kv-keep/"):
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        else:
            await self._end_lease(lease)
        return 200, {"ttl_time": f"{int(ttl_s * 1000)}ms"}

    def _range(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page: list[dict] = []
        size = 0
        for key in keys:
            item = self.items[key]
            size += len(item["value"])
            if page and (len(page) >= self.page_items or size > MAX_PAGE_BYTES):
                break
            page.append(item)
        more = len(page) < len(keys)
        return {"items": page, "more-pages": more, "current-rev": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query.get("wait-ms", "0")) / 1000.0
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0.0:
                return {"events": events, "current-rev": self.revision}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    continue

    async def _transact(self, body: dict) -> tuple[int, dict]:
        expected = body.get("expected-rev") or []
        current = [self.items.get(row["key"]) for row in expected]
        if any(
            (item["revision"] if item else 0) != row["revision"]
            for item, row in zip(current, expected, strict=True)
        ):
            return 412, {"items": [item for item in current if item]}
        puts = body.get("puts") or []
        leases = {put.get("lease") or 0 for put in puts}
        if any(lease and lease not in self._leases for lease in leases):
            return 404, {}
        values = {put["key"]: base64.b64decode(put["value"]) for put in puts}
        lease = next(iter(leases), 0)
        deletes = tuple(body.get("deletes") or ())
        return 200, {"revision": await self.change(values, deletes, lease)}


def _seconds(text: str) -> float:
    if text.endswith("ms"):
        return float(text[:-2]) / 1000.0
    return float(text[:-1])
