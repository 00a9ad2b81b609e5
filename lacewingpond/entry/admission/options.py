"""Options of admission."""

from msgspec import Struct


class AdmissionOptions(Struct, frozen=True):
    """Section ``[admission]`` of the settings.

    Parameters
    ----------
    enabled : bool
        Whether loaded services hold and refuse requests by priority class.
    busy_load : float
        Requests per usable slot below which each request of a service is admitted;
        the threshold of its least urgent class.
    max_load : float
        Requests per usable slot up to which its most urgent class is admitted.
    max_waiting : int
        Most requests that wait for one service on this VM.
    """

    enabled: bool = False
    busy_load: float = 1.0
    max_load: float = 2.0
    max_waiting: int = 64

    def problems(self) -> list[tuple[str, str]]:
        """Return the name of each wrong option with what is wrong."""
        found = []
        if not 0.0 < self.busy_load < float("inf"):
            found.append(("busy_load", "must be a number above 0"))
        if not self.busy_load <= self.max_load < float("inf"):
            found.append(("max_load", "must be a number not below busy_load"))
        if self.max_waiting < 1:
            found.append(("max_waiting", "must be at least 1"))
        return found
