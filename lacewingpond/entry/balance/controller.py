"""Control of the share of a domain's requests that goes to far targets."""

import math

# Share of the remaining difference that is corrected per second. Loads are 0.5 to 1 s
# old, so the controller is tuned for a return within 3 s without overshoot.
RATE_PER_S = 1.5
# Requests per slot above the mean load, and above 1, from which the share follows at
# once: there targets reject requests.
OVERFULL_MARGIN = 0.25
MAX_SHARE = 0.95  # near targets stay in use, so that their state remains known


class SpillController:
    """Integral controller on the near load less the mean load of all domains.

    The integral counts only the part of the difference that the present share has not
    corrected yet: requests in flight show an earlier share, and without the
    subtraction the controller would correct the same difference several times, as in
    a Smith predictor (O. J. M. Smith, "Closer control of loops with dead time",
    Chemical Engineering Progress 53, 1957).

    Parameters
    ----------
    spill_from : float
        Requests per near slot up to which nothing spills.

    Attributes
    ----------
    share : float
        Share of the requests that goes to far targets, from 0 to `MAX_SHARE`.
    """

    __slots__ = ("share", "spill_from")

    def __init__(self, spill_from: float) -> None:
        self.share = 0.0
        self.spill_from = spill_from

    def update(
        self,
        elapsed_s: float,
        near_load: float,
        mean_load: float,
        demand: float,
        far_ratio: float,
    ) -> float:
        """Return the share after a further measurement.

        Parameters
        ----------
        elapsed_s : float
            Time since the last measurement, in seconds.
        near_load : float
            Requests in flight from all domains per near slot.
        mean_load : float
            Requests in flight from all domains per slot of all domains.
        demand : float
            Requests in flight of this domain, wherever they are, per near slot.
        far_ratio : float
            Part of those that is in flight at far targets.
        """
        level = max(mean_load, self.spill_from)
        needed = _share_for(level, near_load, demand, far_ratio)
        limit = max(level, 1.0) + OVERFULL_MARGIN
        at_once = _share_for(limit, near_load, demand, far_ratio)
        gained = 1.0 - math.exp(-RATE_PER_S * max(elapsed_s, 0.0))
        self.share = max(self.share + (needed - self.share) * gained, at_once)
        return self.share


def _share_for(
    level: float, near_load: float, demand: float, far_ratio: float
) -> float:
    """Return the far share of requests at which the near load would be `level`."""
    if demand <= 0.0:
        return 0.0
    return min(max(far_ratio + (near_load - level) / demand, 0.0), MAX_SHARE)
