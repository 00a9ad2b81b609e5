"""Priority classes of each service, as the configuration names them."""

import bisect

from lacewingpond.entry.admission.options import AdmissionOptions
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.model.service_classes import service_classes


class PriorityClasses:
    """Ranks the priorities that requests of each service can have.

    A workspace's priority takes precedence over that of the route; 0 is the most
    urgent.

    Parameters
    ----------
    cfg : EntryConfig or None
        The configuration; without one each service has a single class.
    """

    __slots__ = ("_priorities",)

    def __init__(self, cfg: EntryConfig | None) -> None:
        classes = service_classes(cfg) if cfg is not None else {}
        self._priorities = {
            service: sorted(found) for service, found in classes.items()
        }

    def rank(self, service: str, priority: int) -> int:
        """Return how many classes of the service are more urgent than `priority`.

        A priority that the configuration does not name has the rank of the next less
        urgent class, or of the least urgent one.
        """
        priorities = self._priorities.get(service, ())
        return min(bisect.bisect_left(priorities, priority), self.count(service) - 1)

    def count(self, service: str) -> int:
        """Return the number of classes of a service; at least 1."""
        return max(len(self._priorities.get(service, ())), 1)

    def threshold(
        self, service: str, priority: int, options: AdmissionOptions
    ) -> float:
        """Return the load, in requests per slot, below which a class is admitted.

        Source: Zhou and others, "Overload control for scaling WeChat microservices",
        SoCC 2018.
        """
        count = self.count(service)
        if count == 1:
            return options.max_load
        share = self.rank(service, priority) / (count - 1)
        return options.max_load - (options.max_load - options.busy_load) * share
