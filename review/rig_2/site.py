"""A small deployment on loopback addresses: store, instances and daemons."""

import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
from pathlib import Path

from rig_2.client import wait_ready
from rig_2.daemon import Daemon
from rig_2.instance import Instance
from rig_2.proxy import Proxy
from rig_2.record import Record
from rig_2.store import Store

HOST = "jepu9.example"
INTERNAL_PORTS = 16
MAX_S = 110.0  # of a script, which may take 120 s


class CantRunError(Exception):
    """The case could not be played."""


class Site:
    """Runs the parts of a deployment; one network of 127.0.0.0/8 for each script."""

    def __init__(self, record: Record) -> None:
        # So that the script ends its daemons also if it is stopped.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        self._ends_at = time.monotonic() + MAX_S
        self.record = record
        self.store = Store()
        self.instances: list[Instance] = []
        self.daemons: list[Daemon] = []
        self.tmp = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self._store_port = _free_port(f"{self.net}.1")
        self._version = 0

    def has_time(self, needed_s: float) -> bool:
        """Return whether the script may go on for `needed_s` seconds."""
        return time.monotonic() + needed_s < self._ends_at

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start(f"{self.net}.1", self._store_port)

    async def configure(
        self, rules: list[dict], tenants: list[dict], services: list[str]
    ) -> float:
        """Write the next configuration; return when the store confirmed it."""
        self._version += random.randint(1, 3)
        document = {
            "version": self._version,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout": "3000ms",
                "idle-timeout": "15000ms",
            },
            "tenants": tenants,
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": [
                {"name": name, "health-path": "/health", "max-conns": 330}
                for name in services
            ],
        }
        await self.store.change({"op/config": json.dumps(document).encode()})
        at = asyncio.get_running_loop().time()
        self.record.line(f"operator: configuration {self._version} is confirmed")
        return at

    async def add_instance(
        self,
        name: str,
        service: str,
        number: int,
        work_s: float,
        zone: str = "kigali-a",
    ) -> Instance:
        """Start an instance on an address of its own."""
        ip = f"{self.net}.{100 + number}"
        instance = Instance(name, service, (ip, _free_port(ip)), zone, work_s)
        await instance.start(self.store, self.record)
        self.instances.append(instance)
        return instance

    async def add_proxy(self, number: int) -> tuple[Proxy, str]:
        """Start a proxy to the store; return it with its address."""
        ip = f"{self.net}.{50 + number}"
        port = _free_port(ip)
        proxy = Proxy((f"{self.net}.1", self._store_port))
        await proxy.start(ip, port)
        return proxy, f"{ip}:{port}"

    def add_daemon(
        self, number: int, zone: str = "kigali-a", store: str | None = None
    ) -> Daemon:
        """Prepare a VM with its settings; `store` is the address it calls."""
        ip = f"{self.net}.{10 + number}"
        internal = _free_ports(ip, INTERNAL_PORTS)
        ports = {
            "front": _free_port(ip),
            "ready": _free_port(ip),
            "internal": internal,
        }
        store = store or f"{self.net}.1:{self._store_port}"
        daemon = Daemon(f"front-{zone}-{number}", zone, ip, ports, store, self.tmp)
        self.daemons.append(daemon)
        return daemon

    async def start_daemons(self) -> None:
        """Start all daemons and wait until they are ready."""
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            if not await wait_ready(daemon.ready, 20.0):
                raise CantRunError(f"{daemon.name} is not ready")

    def close(self) -> None:
        """End all processes, and keep their logs only if asked to."""
        for daemon in self.daemons:
            daemon.kill()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.tmp}")
            return
        for path in self.tmp.iterdir():
            path.unlink()
        self.tmp.rmdir()


def rule(name: str, prefix: str, kind: str, service: str, timeout: str) -> dict:
    """Return a route of a configuration."""
    return {
        "name": name,
        "kind": kind,
        "target-latency": "2000ms",
        "priority": 1,
        "public": False,
        "match": {"prefix": prefix},
        "action": {"service": service, "timeout": timeout, "max-attempts": 2},
    }


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def _free_ports(ip: str, count: int) -> int:
    """Return the first of `count` ports in a row that nobody uses on `ip`."""
    for _ in range(100):
        first = random.randint(20_000, 30_000)
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((ip, port))
        except OSError:
            continue
        return first
    raise CantRunError("no free ports")
