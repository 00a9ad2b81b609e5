"""Naive variant of rate limits: each VM admits a fixed fraction of every rate."""

from lacewingpond.config.model import Config
from lacewingpond.limits.admission import ADMITTED, Admission, RefusalReason
from lacewingpond.limits.bucket import workspace_bucket
from lacewingpond.replay.central_bucket import CentralBucket
from lacewingpond.util.clock import Clock


class StaticLimiter:
    """Admits 1/N of each rate and burst on each of N VMs, without communication.

    Parameters
    ----------
    cfg : Config
        The configuration, with the workspaces' rates and bursts.
    vm_count : int
        Number of VMs.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_buckets", "_clock")

    def __init__(self, cfg: Config, vm_count: int, clock: Clock) -> None:
        self._clock = clock
        self._buckets = {
            workspace_bucket(workspace.name): CentralBucket(
                workspace.rate / vm_count,
                max(workspace.burst / vm_count, 1.0),
                clock.now(),
            )
            for workspace in cfg.workspaces
        }

    def admit(self, bucket_ids: tuple[str, ...]) -> Admission:
        """Take a token of each bucket and return the admission or the refusal.

        Raises
        ------
        KeyError
            If a bucket is not that of a configured workspace.
        """
        for bucket_id in bucket_ids:
            if not self._buckets[bucket_id].take(self._clock.now()):
                return Admission(False, bucket_id, RefusalReason.OVER_RATE, 1.0)
        return ADMITTED
