"""The settings of one daemon, composed of the options of its components."""

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
    """Identity and location of this VM.

    Parameters
    ----------
    id : str
        Id of the VM in the platform's list.
    failure_domain : str
        Failure domain in which the VM runs.
    region : str
        Region in which the VM runs.
    """

    id: str
    failure_domain: str
    region: str = ""


class SecretSettings(Struct, frozen=True):
    """Source of a secret: either a file or an environment variable.

    Parameters
    ----------
    file : str
        Path of the file.
    variable : str
        Name of the environment variable.
    """

    file: str = ""
    variable: str = ""


class LogSettings(Struct, frozen=True):
    """The log of decisions.

    Parameters
    ----------
    file : str
        Path of the log file; standard output if empty.
    level : str
        ``decisions`` logs all lines, ``changes`` omits the lines about single
        requests, ``none`` logs nothing.
    sample : float
        Share of the requests, 0 to 1, whose decisions are logged.
    """

    file: str = ""
    level: str = "decisions"
    sample: float = 1.0


class MetricsSettings(Struct, frozen=True):
    """The statsd server that receives the metrics.

    Parameters
    ----------
    statsd : str
        ``host:port`` of the statsd server, with an IP address; no metrics if empty.
    prefix : str
        Prefix of all metric names.
    """

    statsd: str = ""
    prefix: str = "lacewingpond"


class OperatorSettings(Struct, frozen=True):
    """The listener of the operators' API.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 selects a free port.
    """

    host: str = "127.0.0.1"
    port: int = 8082


class StopSettings(Struct, frozen=True):
    """Time limits of a planned stop.

    Parameters
    ----------
    balancer_notice_s : float
        Time for which requests are still accepted after the balancer's readiness
        check has begun to fail, in seconds.
    grace_s : float
        Longest wait for running requests and for the handover of shards, in
        seconds.
    """

    balancer_notice_s: float = 5.0
    grace_s: float = 30.0


class Settings(Struct, frozen=True):
    """All settings of one daemon; the other sections hold its components' options.

    Parameters
    ----------
    vm : VmSettings
        Identity and location of this VM.
    store : StoreOptions
        The platform's key-value service and VM list.
    fleet_secret : SecretSettings
        Secret with which VMs authenticate each other; the same on all VMs.
    operator_token : SecretSettings
        Bearer token with which operators authenticate.
    profile : str
        Defaults of ``health``, whose keys override them. ``certainty`` gives
        priority to few false ejections and wrongful refusals, ``speed`` to a short
        detection time and the worst-served workspace, ``large-fleet`` to few bytes
        from hundreds of VMs to one outlier detector.
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
