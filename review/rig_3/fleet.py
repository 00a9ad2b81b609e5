"""A small deployment: store, configuration, instances and daemons."""

import asyncio
import random
import tempfile
from pathlib import Path

from rig_3.client import HOST
from rig_3.daemon import Daemon
from rig_3.record import Record
from rig_3.store import Store

KEY = "ctnfzs989anu6wsjnban"
TENANT = "sese880"
ZONES = ("kigali-a", "kigali-b", "kigali-c")
SERVICE = "huvo11a"
RUN_PREFIX = "/xapu221/"
"""Prefix of a non-idempotent route."""


def config(version: int = 1, header_bytes: int = 16384) -> dict:
    """Return a configuration with one non-idempotent route, as `wire` shows it."""
    rule = {
        "name": "r-6sz9frg",
        "kind": "non_idempotent",
        "target-latency": "2000ms",
        "priority": 1,
        "public": False,
        "match": {"prefix": RUN_PREFIX},
        "action": {"service": SERVICE, "timeout": "4000ms", "max-attempts": 2},
    }
    return {
        "version": version,
        "limits": {
            "max-header-bytes": header_bytes,
            "max-body-bytes": 67108864,
            "header-timeout": "3000ms",
            "idle-timeout": "15000ms",
        },
        "tenants": [
            {"name": TENANT, "api-keys": [KEY], "rate-per-s": 200, "burst": 200}
        ],
        "listeners": [{"host": HOST, "rules": [rule]}],
        "clusters": [
            {
                "name": SERVICE,
                "health-path": "/health",
                "max-conns": 330,
                "protocol": "h1",
                "tls": False,
            }
        ],
    }


class Fleet:
    """The daemons, with the platform's checks of their readiness.

    Parameters
    ----------
    count : int
        Number of daemons; they stand in the zones in turn.
    store : Store
        The store, started.
    record : Record
        The record of the case.
    rng : random.Random
        Picks daemons for consumers.
    """

    def __init__(
        self, count: int, store: Store, record: Record, rng: random.Random
    ) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._rng = rng
        self._checks: asyncio.Task | None = None
        self.daemons = [
            Daemon(
                f"front-{ZONES[i % 3]}-{i // 3 + 1}",
                ZONES[i % 3],
                f"127.0.0.{i + 11}",
                store.address,
                Path(self._folder.name),
                record,
            )
            for i in range(count)
        ]

    async def start(self, timeout_s: float = 15.0) -> None:
        """Start all daemons and wait until all are ready."""
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        self._checks = asyncio.create_task(self._check())
        async with asyncio.timeout(timeout_s):
            while not all(daemon.in_rotation for daemon in self.daemons):
                await asyncio.sleep(0.1)

    def pick(self) -> Daemon:
        """Return a daemon for a new connection of a consumer."""
        ready = [daemon for daemon in self.daemons if daemon.in_rotation]
        return self._rng.choice(ready or self.daemons)

    async def end(self) -> None:
        """End all processes and remove the temporary folder."""
        if self._checks is not None:
            self._checks.cancel()
        await asyncio.gather(*(daemon.end() for daemon in self.daemons))
        self._folder.cleanup()

    async def _check(self) -> None:
        while True:
            checks = (daemon.check_ready() for daemon in self.daemons)
            await asyncio.gather(asyncio.sleep(1.0), *checks)
