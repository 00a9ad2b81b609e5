"""The settings of one daemon; each part of the daemon brings its own options."""

from msgspec import Struct


class VmSettings(Struct, frozen=True):
    """Who and where this VM is.

    Parameters
    ----------
    id : str
        Name of the VM in the platform's list.
    failure_domain, region : str
        Where it runs.
    """

    id: str
    failure_domain: str
    region: str = ""


class ListenSettings(Struct, frozen=True):
    """Addresses to listen on, as ``host:port`` with an IP number; port 0 is any."""

    callers: str = "127.0.0.1:8080"
    peers: str = "127.0.0.1:8081"
    operators: str = "127.0.0.1:8082"


class PlatformSettings(Struct, frozen=True):
    """Where the platform's services are.

    Parameters
    ----------
    store : str
        ``host:port`` of the key-value service.
    vm_list : str
        ``host:port`` of the VM list; the store's address when empty.
    """

    store: str
    vm_list: str = ""


class SecretSettings(Struct, frozen=True):
    """Where a secret comes from: a file, or a variable of the environment."""

    file: str = ""
    variable: str = ""


class LogSettings(Struct, frozen=True):
    """Where decisions are logged.

    Parameters
    ----------
    file : str
        Path of the log; standard output when empty.
    level : str
        ``decisions`` for all lines, ``changes`` to leave out the lines that each
        request writes, ``none`` for no lines.
    sample : float
        Share of the requests, 0 to 1, whose decisions are logged.
    """

    file: str = ""
    level: str = "decisions"
    sample: float = 1.0


class MetricsSettings(Struct, frozen=True):
    """Where metrics go.

    Parameters
    ----------
    statsd : str
        ``host:port`` of the statsd server by IP number; no metrics when empty.
    prefix : str
        Put before each name.
    """

    statsd: str = ""
    prefix: str = "lacewingpond"


class Settings(Struct, frozen=True):
    """All settings of one daemon."""

    vm: VmSettings
    platform: PlatformSettings
    fleet_secret: SecretSettings
    operator_token: SecretSettings
    listen: ListenSettings = ListenSettings()
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
