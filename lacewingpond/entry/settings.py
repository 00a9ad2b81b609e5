"""Settings of the entry daemon, in TOML."""

from collections.abc import Mapping
from pathlib import Path

from msgspec import Struct, field
from result import Err, Ok, Result

from lacewingpond.util.address import parse_address
from lacewingpond.util.convert import convert_struct
from lacewingpond.util.duration import parse_duration
from lacewingpond.util.findings import Finding
from lacewingpond.util.toml_file import read_toml


class VmSettings(Struct, frozen=True):
    """The VM of this daemon, and where it runs."""

    id: str
    failure_domain: str
    region: str
    ip: str
    descriptors: int = 4096


class ListenSettings(Struct, frozen=True):
    """Addresses of the daemon; `peer_ports` are the first and last free port."""

    callers: str
    readiness: str
    peer_ports: tuple[int, ...]


class StoreSettings(Struct, frozen=True):
    """Where the platform's store is."""

    address: str


LOG_LEVELS = ("decisions", "changes")


class LogSettings(Struct, frozen=True):
    """What is logged; the level `changes` leaves out the lines of single requests."""

    level: str = "decisions"


class MetricsSettings(Struct, frozen=True):
    """Where counters and latencies are read; no `address` turns them off."""

    address: str = ""
    path: str = "/metrics"


class BoundSettings(Struct, frozen=True):
    """What the platform's users demand; durations are texts such as ``1500ms``.

    Parameters
    ----------
    store_return : str
        How long after the store's return its missing entries may come back.
    stop_grace : str
        Time between SIGTERM and SIGKILL.
    strict_revoke : bool
        Whether a withdrawn key must stop working on cut-off VMs too.
    revoke : str
        How long a withdrawn key may go on working.
    retry_ratio, retry_burst : float
        Retries of the whole fleet per request of a service, and beside those.
    quota_window : str
        Span over which a workspace's requests are counted.
    quota_overage, quota_slack : float
        What may be admitted beyond a workspace's rate: a share and a number.
    """

    store_return: str = "2s"
    stop_grace: str = "6s"
    strict_revoke: bool = True
    revoke: str = "5000ms"
    retry_ratio: float = 0.2
    retry_burst: float = 60.0
    quota_window: str = "5s"
    quota_overage: float = 0.1
    quota_slack: float = 20.0

    def seconds(self, name: str) -> float:
        """Return the duration called `name` in seconds."""
        return parse_duration(getattr(self, name))


DURATIONS = (
    "store_return",
    "stop_grace",
    "revoke",
    "quota_window",
)


class EntrySettings(Struct, frozen=True):
    """All settings of an entry daemon."""

    vm: VmSettings
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings = field(default_factory=BoundSettings)
    log: LogSettings = field(default_factory=LogSettings)
    metrics: MetricsSettings = field(default_factory=MetricsSettings)


def load_entry_settings(path: Path) -> Result[EntrySettings, tuple[Finding, ...]]:
    """Read and check the settings file at `path`."""
    read = read_toml(path)
    if isinstance(read, Err):
        return Err((read.err_value,))
    return check_entry_settings(read.ok_value, str(path))


def check_entry_settings(
    data: Mapping[str, object], place: str
) -> Result[EntrySettings, tuple[Finding, ...]]:
    """Turn parsed settings into `EntrySettings`, or return all findings."""
    findings: list[Finding] = []
    cfg = convert_struct(EntrySettings, data, place, findings)
    if cfg is not None:
        _check_addresses(cfg, place, findings)
        _check_durations(cfg, place, findings)
        if cfg.log.level not in LOG_LEVELS:
            choices = ", ".join(LOG_LEVELS)
            findings.append(Finding(f"{place}.log.level", f"must be one of {choices}"))
    return Err(tuple(findings)) if cfg is None or findings else Ok(cfg)


def _check_addresses(cfg: EntrySettings, place: str, findings: list[Finding]) -> None:
    wanted = {
        "listen.callers": cfg.listen.callers,
        "listen.readiness": cfg.listen.readiness,
        "store.address": cfg.store.address,
    }
    if cfg.metrics.address:
        wanted["metrics.address"] = cfg.metrics.address
    for key, text in wanted.items():
        try:
            parse_address(text)
        except ValueError as exc:
            findings.append(Finding(f"{place}.{key}", f"{text!r}: {exc}"))
    ports = cfg.listen.peer_ports
    if len(ports) != 2 or not 0 <= ports[0] <= ports[-1] <= 65535:
        findings.append(
            Finding(f"{place}.listen.peer_ports", "must be a first and a last port")
        )


def _check_durations(cfg: EntrySettings, place: str, findings: list[Finding]) -> None:
    for name in DURATIONS:
        try:
            cfg.bounds.seconds(name)
        except ValueError as exc:
            findings.append(Finding(f"{place}.bounds.{name}", str(exc)))
