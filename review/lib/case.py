"""Set-up, record and verdict that the scripts of the cases share."""

import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from lib.daemons import Daemon, free_ports
from lib.http_io import encode, read_message
from lib.instance import ID, Instance
from lib.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "shop.example"
PORTS = 8
START_S = 25.0
STORE_IP = "127.0.0.1"


class CannotRunError(Exception):
    """The case could not be set up."""


def trouble() -> bool:
    """Return whether the disruption is on."""
    return os.environ.get("TROUBLE", "1") != "0"


class Case:
    """One run of a case: its stand-ins, its daemons and its record.

    Attributes
    ----------
    rows : list of dict
        What was recorded, with `t`, the seconds since the start.
    """

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self._file = (folder / "record.txt").open("w")
        self.folder = Path(self._temporary.name)
        self.rows: list[dict] = []
        self.store = Store(self.note)
        self.instances: list[Instance] = []
        self.daemons: list[Daemon] = []
        self._requests = 0

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, kind: str, **fields: object) -> None:
        """Add a line to the record."""
        row = {"t": round(self.now(), 4), "kind": kind, **fields}
        self.rows.append(row)
        self._file.write(json.dumps(row) + "\n")

    def found(self, kind: str, **fields: object) -> list[dict]:
        """Return the rows of a kind with given values."""
        return [
            row
            for row in self.rows
            if row["kind"] == kind and all(row.get(k) == v for k, v in fields.items())
        ]

    async def add_instances(
        self, service: str, count: int, work_s: float, zones: tuple[str, ...]
    ) -> list[Instance]:
        """Start instances of a service, spread over zones."""
        added = []
        for number in range(count):
            instance = Instance(
                self.store,
                f"i-{service}-{number}",
                service,
                self.note,
                work_s,
                zones[number % len(zones)],
            )
            await instance.start(f"127.0.2.{len(self.instances) % 250 + 1}")
            self.instances.append(instance)
            added.append(instance)
        return added

    def configure(self, document: dict) -> None:
        """Write a configuration as the operator does."""
        revision = self.store.put("op/config", json.dumps(document).encode())
        self.note("config", version=document["version"], revision=revision)

    async def add_daemons(self, zones: tuple[str, ...]) -> None:
        """Prepare one daemon for each item of `zones`."""
        ips = [f"127.0.1.{number + 1}" for number in range(len(zones))]
        ports = free_ports(ips, PORTS)
        for number, (ip, zone) in enumerate(zip(ips, zones, strict=True)):
            name = f"front-{number + 1}"
            store = await self.store.listen(STORE_IP, name)
            self.daemons.append(Daemon(name, ip, zone, ports, store, self.folder))

    async def start_daemons(self) -> None:
        """Start all daemons and wait until they are ready."""
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await self._await_ready(daemon)

    async def _await_ready(self, daemon: Daemon) -> None:
        """Wait until a daemon reports that it is ready."""
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            if daemon.exit_status is not None:
                raise CannotRunError(f"{daemon.name} ended: {daemon.log_lines()[-3:]}")
            try:
                reader, writer = await asyncio.open_connection(*daemon.ready)
                writer.write(encode("GET /api/ready HTTP/1.1", [("Host", "ready")]))
                answer = await asyncio.wait_for(read_message(reader), 1.0)
                writer.close()
                if answer is not None and " 200 " in answer.first:
                    self.note("ready", daemon=daemon.name)
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{daemon.name} was not ready in {START_S} s")

    async def send(
        self,
        daemon: Daemon,
        method: str,
        path: str,
        key: str,
        deadline_s: float = 8.0,
        body: bytes = b"",
    ) -> dict:
        """Send one request on a new connection; return the row of its answer."""
        self._requests += 1
        request_id = f"r{self._requests:05d}"
        headers = [
            ("Host", HOST),
            (ID, request_id),
            ("X-Lacewingpond-Request-Deadline-Ms", str(int(deadline_s * 1000))),
            ("Authorization", f"Bearer {key}"),
            ("Connection", "close"),
        ]
        status, text, retry = 0, "", None
        sent_at = self.now()
        self.note("sent", id=request_id, to=daemon.name, request=f"{method} {path}")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*daemon.front), 1.0
            )
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            answer = await asyncio.wait_for(read_message(reader), deadline_s)
            writer.close()
            if answer is not None:
                status = int(answer.first.split()[1])
                text = answer.body.decode("latin-1")[:200]
                retry = answer.get("Retry-After")
        except (OSError, TimeoutError) as exc:
            text = repr(exc)
        row = {"id": request_id, "status": status, "sent_at": round(sent_at, 4)}
        self.note("answered", **row, retry_after=retry, body=text)
        return row

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for daemon in self.daemons:
            daemon.kill()
        if keep := os.environ.get("REVIEW_LOGS"):
            for daemon in self.daemons:
                log = "\n".join(daemon.log_lines())
                (Path(keep) / f"{daemon.name}.log").write_text(log)
        for instance in self.instances:
            instance.exit()
        self.store.stop()
        self._file.close()
        self._temporary.cleanup()


def run(script: str, play: Callable[[Case], Awaitable[int]]) -> None:
    """Play a case and exit with its verdict.

    Parameters
    ----------
    script : str
        Path of the script, in whose folder the record is written.
    play : callable
        Plays the case and returns `HELD` or `BROKEN`.
    """

    async def main() -> int:
        case = Case(Path(script).resolve().parent)
        try:
            return await play(case)
        except Exception as exc:
            case.note("verdict", what=f"could not run: {exc!r}")
            print(f"could not run: {exc!r}")
            return NOT_RUN
        finally:
            case.stop()

    sys.exit(asyncio.run(main()))
