"""Starts the project's own program, as the deploy file does."""

import json
import os
import re
import shlex
import signal
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
_SECTION = re.compile(r"\{\{([#^])([\w.-]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.-]+)(\|json)?\}\}")


def render(template: str, fields: dict) -> str:
    """Fill in a settings template as DEPLOY.md tells it; lists have no sections."""

    def section(match: re.Match) -> str:
        value = _lookup(fields, match[2])
        shown = (
            value in (None, False) if match[1] == "^" else value not in (None, False)
        )
        return match[3] if shown else ""

    def value(match: re.Match) -> str:
        found = _lookup(fields, match[1])
        return (
            json.dumps(found) if match[2] else str(found if found is not None else "")
        )

    return _VALUE.sub(value, _SECTION.sub(section, template))


def _lookup(fields: dict, name: str) -> object:
    value: object = fields
    for part in name.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


class Daemon:
    """One process of the deploy file's role on one VM."""

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        ports: dict[str, int],
        store: str,
        tmp: Path,
    ) -> None:
        self.name = name
        self.front = (ip, ports["front"])
        self.ready = (ip, ports["ready"])
        self.log_path = tmp / f"{name}.log"
        self.process: subprocess.Popen | None = None
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self._command = shlex.split(role["run"])
        self._settings = tmp / f"{name}.conf"
        fields = {
            "node-name": name,
            "zone": zone,
            "region": "kigali",
            "ip": ip,
            "listen": {
                "front": f"{ip}:{ports['front']}",
                "ready": f"{ip}:{ports['ready']}",
            },
            "internal-ports": [ports["internal"], ports["internal"] + 15],
            "limits": {"max-fds": 4100},
            "platform": {"address": store},
            "bounds": {
                "grace": "6s",
                "strict-revoke": True,
                "revoke": "5000ms",
                "retry-budget-ratio": 0.2,
                "retry-burst": 56,
                "quota-window": "5s",
                "quota-overage": 0.1,
                "quota-slack": 20,
            },
        }
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(render(template, fields))

    def start(self) -> None:
        """Start the process."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["LACEWINGPOND_SETTINGS"] = str(self._settings)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def decisions(self) -> list[dict]:
        """Return what the processes on this VM have logged."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            if line.startswith("{"):
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue
        return found

    def is_watching(self) -> bool:
        """Return whether its log says that it watches the store now."""
        watching = False
        for each in self.decisions():
            if (each["what"], each["why"]) == ("source", "no fresh peer"):
                watching = True
            elif each["what"] == "start" or each["why"] == "already watches the store":
                watching = False
        return watching
