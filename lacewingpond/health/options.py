"""Options of the judgement of targets."""

from msgspec import Struct


class HealthOptions(Struct, frozen=True):
    """How fast and how surely a target is ejected, and how it returns.

    Parameters
    ----------
    period_s : float
        Time between digests, in seconds.
    threshold : float
        Evidence (natural log of a likelihood ratio) that ejects a target.
    min_vms : int
        VMs whose evidence an ejection needs; fewer where fewer use the service.
    vm_evidence_min : float
        Evidence below which a single VM's view does not count.
    alone_threshold : float
        Evidence that ejects a target while the judge can't be heard.
    alone_max_share : float
        Share of a service's targets that a VM ejects while it judges alone.
    min_error_rate, min_slow_rate : float
        Least assumed share of failures and of slow answers of healthy targets.
    excess_rate : float
        Rise above the peers' share, as a part of the rest, that is unhealthy.
    hold_s, max_hold_s : float
        First and longest time out of work, in seconds; each ejection within
        `forgive_s` of the last doubles it.
    forgive_s : float
        Healthy time, in seconds, after which former ejections are forgotten.
    trial_weight : float
        Share of normal work that a target gets while on trial.
    trial_evidence : float
        Evidence that ends a trial, either way.
    slow_start_s : float
        Time in which the weight rises to 1 after a trial, in seconds.
    cold_start_s : float
        Time after a start in which slow answers don't count, in seconds.
    restart_s : float
        Time in which refused connections count as a restart, in seconds.
    panel_size : int
        VMs, of all that may use a service, that report all outcomes; the others
        report only on targets that they suspect.
    fleet_size : int
        VMs that may use a service, until membership says otherwise.
    lapse_s : float
        Silence of the judge, in seconds, after which a VM judges alone.
    connect_backoff_s : float
        Time in which a VM avoids a target that refused a connection, in seconds.
    drain_s : float
        Time without new work after a target said that it drains, in seconds.
    """

    period_s: float = 1.0
    threshold: float = 24.0
    min_vms: int = 3
    vm_evidence_min: float = 6.0
    alone_threshold: float = 18.0
    alone_max_share: float = 0.2
    min_error_rate: float = 0.02
    min_slow_rate: float = 0.05
    excess_rate: float = 0.3
    hold_s: float = 10.0
    max_hold_s: float = 300.0
    forgive_s: float = 300.0
    trial_weight: float = 0.05
    trial_evidence: float = 6.0
    slow_start_s: float = 10.0
    cold_start_s: float = 20.0
    restart_s: float = 8.0
    panel_size: int = 64
    fleet_size: int = 40
    lapse_s: float = 5.0
    connect_backoff_s: float = 1.0
    drain_s: float = 300.0

    @classmethod
    def for_certainty(cls) -> "HealthOptions":
        """Return options that weigh false ejections and wrongful refusals most."""
        return cls(threshold=30.0, min_error_rate=0.03, alone_threshold=24.0)

    @classmethod
    def for_large_fleet(cls) -> "HealthOptions":
        """Return options for hundreds of VMs in front of one service."""
        return cls(period_s=8.0, lapse_s=40.0, fleet_size=283)

    @classmethod
    def for_speed(cls) -> "HealthOptions":
        """Return options that weigh detection time most."""
        return cls(period_s=0.5, threshold=21.0, alone_threshold=15.0, lapse_s=3.0)
