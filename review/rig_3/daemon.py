"""Entry daemons as the deploy file starts them, each with a settings file."""

import asyncio
import json
import os
import re
import signal
import socket
import tomllib
from pathlib import Path

from rig_3.record import Record

ROOT = Path(__file__).resolve().parents[2]
SETTINGS_VARIABLE = "LACEWINGPOND_SETTINGS"
_SECTION = re.compile(r"\{\{([#^])([\w.-]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_FIELD = re.compile(r"\{\{([\w.-]+)\|json\}\}")

# The bounds of `sites/imbaraga-gw.toml`, as `fleetbench wire` shows them.
BOUNDS = {
    "bounds.grace": "6s",
    "bounds.strict-revoke": True,
    "bounds.revoke": "5000ms",
    "bounds.retry-budget-ratio": 0.2,
    "bounds.retry-burst": 56,
    "bounds.quota-window": "5s",
    "bounds.quota-overage": 0.1,
    "bounds.quota-slack": 20,
}


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of `host` that are free now for TCP and UDP; the last two follow.

    The daemon uses the last two for its peers.
    """
    while True:
        socks = [socket.socket() for _ in range(count - 1)]
        try:
            for sock in socks:
                sock.bind((host, 0))
            ports = [sock.getsockname()[1] for sock in socks]
            following = socket.socket()
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                following.bind((host, ports[-1] + 1))
                udp.bind((host, ports[-1]))
            except (OSError, OverflowError):
                continue
            finally:
                following.close()
                udp.close()
            return [*ports, ports[-1] + 1]
        finally:
            for sock in socks:
                sock.close()


def render(template: str, fields: dict) -> str:
    """Fill in the template of the settings as DEPLOY.md tells."""

    def section(match: re.Match) -> str:
        kind, name, inner = match.groups()
        present = bool(fields.get(name))
        return inner if present == (kind == "#") else ""

    text = _SECTION.sub(section, template)
    return _FIELD.sub(lambda match: json.dumps(fields[match[1]]), text)


class Daemon:
    """One VM with one entry daemon.

    Parameters
    ----------
    name, zone, ip : str
        Its name, zone and loopback address.
    store : str
        Address of the store.
    folder : Path
        Temporary folder for its settings and its log.
    record : Record
        Receives its starts and stops.

    Attributes
    ----------
    started_at : float
        Time of the last start, in seconds of the record.
    stopped_at : float
        Time of the last signal that ends it; minus infinity before.
    in_rotation : bool
        Whether the platform gives it new connections.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        store: str,
        folder: Path,
        record: Record,
        template: str = "",
    ) -> None:
        front, ready, peer, relay = free_ports(ip, 4)
        self.name, self.zone, self.ip = name, zone, ip
        self.front, self.ready = (ip, front), (ip, ready)
        self.started_at = self.stopped_at = float("-inf")
        self.in_rotation = False
        self._record = record
        self._misses = 2
        self._process: asyncio.subprocess.Process | None = None
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        self._command = role["run"].split(" ")
        fields = {
            "node-name": name,
            "zone": zone,
            "region": "kigali",
            "ip": ip,
            "limits.max-fds": 4100,
            "listen.front": f"{ip}:{front}",
            "listen.ready": f"{ip}:{ready}",
            "internal-ports": [peer, relay],
            "platform.address": store,
            **BOUNDS,
        }
        text = template or (ROOT / role["template"]).read_text()
        self._settings.write_text(render(text, fields), encoding="utf-8")

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        keep = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env = {
            **keep,
            "PYTHONPATH": str(ROOT / "target/deps"),
            SETTINGS_VARIABLE: str(self._settings),
        }
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.started_at = self._record.now()
        self._record.add(f"vm {self.name} starts")

    async def restart(self, grace_s: float = 6.0, down_s: float = 0.5) -> None:
        """Stop as planned: SIGTERM, SIGKILL after the grace, and a new start."""
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), grace_s)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()
        self._record.add(f"vm {self.name} has ended")
        await asyncio.sleep(down_s)
        await self.start()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.stopped_at = self._record.now()
        self._record.add(f"vm {self.name} gets {number.name}")
        self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def is_in_touch(self, at: float, stable_window_s: float) -> bool:
        """Return whether the VM was started and sent no signal in the window."""
        last = max(self.started_at, self.stopped_at)
        return at - last >= stable_window_s

    async def check_ready(self) -> None:
        """Ask once for readiness, as the platform does each second."""
        self._misses = 0 if await self._is_ready() else self._misses + 1
        self.in_rotation = self._misses < 2 and (self.in_rotation or not self._misses)

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False
