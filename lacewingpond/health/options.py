"""Options of outlier detection."""

from msgspec import Struct


class HealthOptions(Struct, frozen=True):
    """When a target is ejected as an outlier, and how it returns to normal work.

    Parameters
    ----------
    period_s : float
        Time between digests, in seconds.
    threshold : float
        Evidence (natural log of a likelihood ratio) that ejects a target.
    min_vms : int
        Number of VMs whose evidence an ejection needs; half of the VMs that use the
        service where that is fewer.
    vm_evidence_min : float
        Evidence below which a single VM's outcomes do not count.
    alone_threshold : float
        Evidence that ejects a target while a VM uses its own outcomes only, because
        it gets no verdicts from the shard owner.
    alone_max_share : float
        Largest share of a service's targets that a VM ejects by its own outcomes.
    min_error_rate, min_slow_rate : float
        Smallest shares of failures and of slow responses assumed of healthy targets.
    excess_rate : float
        Excess over the peers' rate at which a target counts as unhealthy, as a
        share of the distance from the peers' rate to 1.
    hold_s, max_hold_s : float
        Duration of the first ejection and the longest one, in seconds; each ejection
        within `forgive_s` of the last doubles it.
    forgive_s : float
        Healthy time, in seconds, after which earlier ejections no longer lengthen
        the next one.
    trial_weight : float
        Share of normal work that a target gets on trial after an ejection.
    trial_evidence : float
        Evidence that ends a trial: against the target it ejects it again, in its
        favour it starts the slow start.
    slow_start_s : float
        Time over which the weight rises to 1 after a trial, in seconds.
    cold_start_s : float
        Time after a start in which slow responses and timeouts don't count, in seconds.
    restart_s : float
        Time for which refused connections are taken for a restart, in seconds.
    panel_size : int
        Number of VMs, of all that may use a service, that report all outcomes; the
        others report only on targets that they suspect.
    fleet_size : int
        Number of VMs that may use a service, until membership is known.
    lapse_s : float
        Time without verdicts from the shard owner, in seconds, after which a VM
        relies on its own outcomes.
    connect_backoff_s : float
        Time for which a VM gives a target that refused a connection only the share
        `trial_weight` of normal work, in seconds.
    drain_s : float
        Time for which a target that says it is draining gets no new work, in seconds.
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
        """Return options for few false ejections and few wrongful refusals."""
        return cls(threshold=30.0, min_error_rate=0.03, alone_threshold=24.0)

    @classmethod
    def for_large_fleet(cls) -> "HealthOptions":
        """Return options for hundreds of VMs in front of one service."""
        return cls(period_s=8.0, lapse_s=40.0, fleet_size=283)

    @classmethod
    def for_speed(cls) -> "HealthOptions":
        """Return options for a short detection time."""
        return cls(period_s=0.5, threshold=21.0, alone_threshold=15.0, lapse_s=3.0)
