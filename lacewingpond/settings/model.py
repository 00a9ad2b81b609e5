"""The settings of one daemon; each part of the daemon brings its own options."""

from msgspec import Struct

from lacewingpond.config.options import ConfigOptions
from lacewingpond.health.options import HealthOptions
from lacewingpond.http.options import HttpOptions
from lacewingpond.idempotency.options import IdempotencyOptions
from lacewingpond.limits.options import LimitOptions
from lacewingpond.membership.options import MembershipOptions
from lacewingpond.peers.options import PeerOptions
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.proxy.options import ProxyOptions
from lacewingpond.quarantine.options import QuarantineOptions
from lacewingpond.queues.options import QueueOptions
from lacewingpond.retries.options import RetryOptions
from lacewingpond.shards.options import ShardOptions
from lacewingpond.store.options import StoreOptions
from lacewingpond.targets.options import TargetOptions


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


class SecretSettings(Struct, frozen=True):
    """Where a secret comes from: a file, or a variable of the environment.

    Parameters
    ----------
    file : str
        Path of the file.
    variable : str
        Name of the variable.
    """

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


class OperatorSettings(Struct, frozen=True):
    """Where operators are served.

    Parameters
    ----------
    host, port : str, int
        Address by IP number; port 0 takes a free one.
    """

    host: str = "127.0.0.1"
    port: int = 8082


class StopSettings(Struct, frozen=True):
    """Times of a planned stop.

    Parameters
    ----------
    balancer_notice_s : float
        How long requests are taken after the balancer's check fails, in seconds.
    grace_s : float
        Longest wait for running requests and for the hand-over of shards, in
        seconds.
    """

    balancer_notice_s: float = 5.0
    grace_s: float = 30.0


class Settings(Struct, frozen=True):
    """All settings of one daemon; each part of the daemon brings its options.

    Parameters
    ----------
    vm : VmSettings
        Who this VM is.
    store : StoreOptions
        The platform's key-value service and VM list.
    fleet_secret, operator_token : SecretSettings
        What VMs prove to each other, and operators to VMs.
    profile : str
        ``certainty`` weighs false ejections and wrongful refusals most, ``speed``
        detection time and the worst-served workspace, ``large-fleet`` the bytes
        that hundreds of VMs send to one judge. The keys of ``health``
        replace those of the profile.
    """

    vm: VmSettings
    store: StoreOptions
    fleet_secret: SecretSettings
    operator_token: SecretSettings
    profile: str = "certainty"
    config: ConfigOptions = ConfigOptions()
    health: HealthOptions = HealthOptions.for_certainty()
    http: HttpOptions = HttpOptions()
    idempotency: IdempotencyOptions = IdempotencyOptions()
    limits: LimitOptions = LimitOptions()
    log: LogSettings = LogSettings()
    membership: MembershipOptions = MembershipOptions()
    metrics: MetricsSettings = MetricsSettings()
    operators: OperatorSettings = OperatorSettings()
    peers: PeerOptions = PeerOptions()
    placement: PlacementOptions = PlacementOptions()
    proxy: ProxyOptions = ProxyOptions()
    quarantine: QuarantineOptions = QuarantineOptions()
    queues: QueueOptions = QueueOptions()
    retries: RetryOptions = RetryOptions()
    shards: ShardOptions = ShardOptions()
    stop: StopSettings = StopSettings()
    targets: TargetOptions = TargetOptions()
