"""Settings of the entry daemon, read from TOML.

`lacewingpond.settings.model` has those of the standalone daemon.
"""

from collections.abc import Mapping
from pathlib import Path

from msgspec import Struct, field
from result import Err, Ok, Result

from lacewingpond.entry.admission.options import AdmissionOptions
from lacewingpond.entry.hedging.options import HedgingOptions, check_hedging
from lacewingpond.util.address import parse_address
from lacewingpond.util.convert import convert_struct
from lacewingpond.util.duration import parse_duration
from lacewingpond.util.findings import Finding
from lacewingpond.util.toml_file import read_toml


class VmSettings(Struct, frozen=True):
    """The VM that this daemon runs on; `descriptors` is its limit of open files."""

    id: str
    failure_domain: str
    region: str
    ip: str
    descriptors: int = 4096


class ListenSettings(Struct, frozen=True):
    """Addresses to listen on; `peer_ports` is a first and a last free port."""

    callers: str
    readiness: str
    peer_ports: tuple[int, ...]


class ClientSettings(Struct, frozen=True):
    """Bounds on what the connections of clients may take up.

    Parameters
    ----------
    max_pipelined : int
        Most requests of one connection that run at the same time; 1 turns that off.
    max_pipelined_total : int
        Most requests of all connections that run before their turn.
    max_pipelined_bytes : int
        Bytes of responses waiting for an earlier one at which no further request of
        their connection is read.
    """

    max_pipelined: int = 8
    max_pipelined_total: int = 256
    max_pipelined_bytes: int = 262_144


class TargetSettings(Struct, frozen=True):
    """Handling of what targets say; `max_pause` bounds the pauses that they ask for."""

    max_pause: str = "60s"

    @property
    def max_pause_s(self) -> float:
        """`max_pause` in seconds; raises `ValueError` if its text is no duration."""
        return parse_duration(self.max_pause)


class StoreSettings(Struct, frozen=True):
    """Address of the platform's store."""

    address: str


LOG_LEVELS = ("decisions", "changes")


class LogSettings(Struct, frozen=True):
    """What is logged; level `changes` omits the lines for single requests."""

    level: str = "decisions"


class MetricsSettings(Struct, frozen=True):
    """Where metrics are served; an empty `address` turns them off."""

    address: str = ""
    path: str = "/metrics"


class BalanceSettings(Struct, frozen=True):
    """Balance of requests across failure domains.

    Parameters
    ----------
    enabled : bool
        Whether far targets get requests by the measured loads of all domains.
    spill_from : float
        Requests in flight per usable near slot from which requests spill to far
        targets.
    far_share : float
        Share of the requests that goes to far targets in any case.
    """

    enabled: bool = False
    spill_from: float = 0.6
    far_share: float = 0.05


MAX_SPILL_FROM = 2.0  # requests per slot; targets reject requests long before
MIN_FAR_SHARE, MAX_FAR_SHARE = 0.001, 0.5


class BoundSettings(Struct, frozen=True):
    """Bounds that the platform's users set; durations are texts such as ``1500ms``.

    Parameters
    ----------
    store_return : str
        How long entries may be missing after the store comes back.
    stop_grace : str
        Time between SIGTERM and SIGKILL.
    strict_revoke : bool
        Whether a withdrawn key must also stop working on VMs that are cut off.
    revoke : str
        How long a withdrawn key may still work.
    evacuate : str
        Time from an operators' request to evacuate a failure domain until no request
        reaches its targets. The daemon always applies such a request at once.
    retry_ratio, retry_burst : float
        Retries of the whole fleet: per request of a service, and in addition.
    quota_window : str
        Window over which a workspace's requests are counted.
    quota_overage, quota_slack : float
        Requests that may be admitted above a workspace's quota in a window: as a
        ratio of the quota, and a number in addition.
    warmup_overage, warmup_slack : float
        Requests that a cold target may get in a second: as a multiple of the rate
        that it tolerates, and a number in addition.
    """

    store_return: str = "2s"
    stop_grace: str = "6s"
    strict_revoke: bool = True
    revoke: str = "5000ms"
    evacuate: str = "5000ms"
    retry_ratio: float = 0.2
    retry_burst: float = 60.0
    quota_window: str = "5s"
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    warmup_overage: float = 1.5
    warmup_slack: float = 8.0

    def seconds(self, name: str) -> float:
        """Return the duration field `name` in seconds.

        Raises
        ------
        ValueError
            If its text is no duration.
        """
        return parse_duration(getattr(self, name))


DURATION_FIELDS = (
    "store_return",
    "stop_grace",
    "revoke",
    "evacuate",
    "quota_window",
)


class EntrySettings(Struct, frozen=True):
    """All settings of an entry daemon."""

    vm: VmSettings
    listen: ListenSettings
    store: StoreSettings
    clients: ClientSettings = field(default_factory=ClientSettings)
    targets: TargetSettings = field(default_factory=TargetSettings)
    bounds: BoundSettings = field(default_factory=BoundSettings)
    admission: AdmissionOptions = field(default_factory=AdmissionOptions)
    log: LogSettings = field(default_factory=LogSettings)
    metrics: MetricsSettings = field(default_factory=MetricsSettings)
    balance: BalanceSettings = field(default_factory=BalanceSettings)
    hedging: HedgingOptions = field(default_factory=HedgingOptions)


def load_entry_settings(path: Path) -> Result[EntrySettings, tuple[Finding, ...]]:
    """Read and check the settings file at `path`.

    Returns
    -------
    Result[EntrySettings, tuple of Finding]
        The settings, or all problems that were found.
    """
    read = read_toml(path)
    if isinstance(read, Err):
        return Err((read.err_value,))
    return check_entry_settings(read.ok_value, str(path))


def check_entry_settings(
    data: Mapping[str, object], place: str
) -> Result[EntrySettings, tuple[Finding, ...]]:
    """Check and convert parsed settings.

    Parameters
    ----------
    data : mapping of str to object
        Settings as parsed from TOML.
    place : str
        Name of the file, for the findings.

    Returns
    -------
    Result[EntrySettings, tuple of Finding]
        The settings, or all problems that were found.
    """
    findings: list[Finding] = []
    cfg = convert_struct(EntrySettings, data, place, findings)
    if cfg is not None:
        _check_addresses(cfg, place, findings)
        _check_durations(cfg, place, findings)
        _check_warmup(cfg.bounds, place, findings)
        _check_clients(cfg.clients, place, findings)
        _check_balance(cfg.balance, place, findings)
        check_hedging(cfg.hedging, place, findings)
        findings += [
            Finding(f"{place}.admission.{name}", problem)
            for name, problem in cfg.admission.problems()
        ]
        if cfg.log.level not in LOG_LEVELS:
            choices = ", ".join(LOG_LEVELS)
            findings.append(Finding(f"{place}.log.level", f"must be one of {choices}"))
    return Err(tuple(findings)) if cfg is None or findings else Ok(cfg)


def _check_addresses(cfg: EntrySettings, place: str, findings: list[Finding]) -> None:
    addresses = {
        "listen.callers": cfg.listen.callers,
        "listen.readiness": cfg.listen.readiness,
        "store.address": cfg.store.address,
    }
    if cfg.metrics.address:
        addresses["metrics.address"] = cfg.metrics.address
    for key, text in addresses.items():
        try:
            parse_address(text)
        except ValueError as exc:
            findings.append(Finding(f"{place}.{key}", f"{text!r}: {exc}"))
    ports = cfg.listen.peer_ports
    if len(ports) != 2 or not 0 <= ports[0] <= ports[-1] <= 65535:
        findings.append(
            Finding(
                f"{place}.listen.peer_ports",
                "must be two ports: the first and the last",
            )
        )


def _check_clients(
    clients: ClientSettings, place: str, findings: list[Finding]
) -> None:
    for name in ClientSettings.__struct_fields__:
        if getattr(clients, name) < 1:
            findings.append(Finding(f"{place}.clients.{name}", "must be at least 1"))


def _check_balance(
    balance: BalanceSettings, place: str, findings: list[Finding]
) -> None:
    # Written so that "nan" is out of range.
    if not 0.0 < balance.spill_from <= MAX_SPILL_FROM:
        text = f"must be above 0 and at most {MAX_SPILL_FROM:g}"
        findings.append(Finding(f"{place}.balance.spill_from", text))
    if not MIN_FAR_SHARE <= balance.far_share <= MAX_FAR_SHARE:
        text = f"must be from {MIN_FAR_SHARE:g} to {MAX_FAR_SHARE:g}"
        findings.append(Finding(f"{place}.balance.far_share", text))


def _check_warmup(bounds: BoundSettings, place: str, findings: list[Finding]) -> None:
    for name in ("warmup_overage", "warmup_slack"):
        if not 0.0 <= getattr(bounds, name) < float("inf"):
            findings.append(
                Finding(f"{place}.bounds.{name}", "must be a number of at least 0")
            )


def _check_durations(cfg: EntrySettings, place: str, findings: list[Finding]) -> None:
    for name in DURATION_FIELDS:
        try:
            cfg.bounds.seconds(name)
        except ValueError as exc:
            findings.append(Finding(f"{place}.bounds.{name}", str(exc)))
    try:
        parse_duration(cfg.targets.max_pause)
    except ValueError as exc:
        findings.append(Finding(f"{place}.targets.max_pause", str(exc)))
