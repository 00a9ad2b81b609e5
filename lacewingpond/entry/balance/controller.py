"""Control of the share of a domain's requests that goes to far targets."""

import math

# Rate at which the planned share approaches the one needed. Lower rates lag behind
# waves of 13 s; higher ones follow random changes of the load.
RATE_PER_S = 3.0
TRIM_RATE_PER_S = 0.4  # slower than the loads are old, so that the trim can't oscillate
# Difference between the near and the mean load that is not trimmed, in requests per
# slot. Random differences would make domains send requests to one another.
DEAD_BAND = 0.1
# Requests per slot above the mean load, and above 1, from which the share follows at
# once: there targets reject requests.
OVERFULL_MARGIN = 0.25
MAX_SHARE = 0.95  # near targets stay in use, so that their state remains known


class SpillController:
    """Controls the near load to the mean load of all domains.

    The share follows what the demand of the own domain exceeds the mean load by. As
    this does not depend on where requests are at present, domains do not react to each
    other's reactions, and none spills whose own targets have room for its demand. An
    integral of the near load less the mean load corrects what remains, such as requests
    from VMs that do not balance. Together they are integral control with feedforward of
    a measured disturbance (Astrom and Murray, "Feedback Systems", 2008, chapters 10 and
    11).

    Parameters
    ----------
    spill_from : float
        Requests per near slot up to which nothing spills.

    Attributes
    ----------
    spill_from : float
        Requests per near slot up to which nothing spills.
    """

    __slots__ = ("spill_from", "_planned", "_trim")

    def __init__(self, spill_from: float) -> None:
        self.spill_from = spill_from
        self._planned = 0.0
        self._trim = 0.0

    @property
    def share(self) -> float:
        """Share of the requests that goes to far targets, from 0 to `MAX_SHARE`."""
        return min(self._planned + self._trim, MAX_SHARE)

    def update(
        self, elapsed_s: float, near_load: float, mean_load: float, demand: float
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
        """
        elapsed_s = max(elapsed_s, 0.0)
        level = max(mean_load, self.spill_from)
        gained = 1.0 - math.exp(-RATE_PER_S * elapsed_s)
        self._planned += (_excess(demand, level) - self._planned) * gained
        at_once = _excess(demand, max(level, 1.0) + OVERFULL_MARGIN)
        self._planned = max(self._planned, at_once)
        gap = (near_load - level - DEAD_BAND) / max(demand, level)
        self._trim += TRIM_RATE_PER_S * gap * elapsed_s
        self._trim = min(max(self._trim, 0.0), MAX_SHARE - self._planned)
        return self.share


def _excess(demand: float, level: float) -> float:
    """Return the part of the demand that exceeds a level, up to `MAX_SHARE`."""
    return min(max(1.0 - level / demand, 0.0), MAX_SHARE) if demand > 0.0 else 0.0
