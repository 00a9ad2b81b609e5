"""What this VM knows of one target."""

from lacewingpond.config.model import Target
from lacewingpond.entry.model.instance import Instance
from lacewingpond.entry.targets.health import Suspicion

REPORT_LIFE_S = 1.5  # reports on load come twice a second
UNREACHABLE_S = 0.5  # first pause after a connection that could not be opened
MAX_UNREACHABLE_S = 4.0  # a healed link is found again within this


class TargetState:
    """One target, its load and its standing.

    Attributes
    ----------
    instance : Instance
        The target.
    target : Target
        The same for the client of targets.
    suspicion : Suspicion
        What the fleet's outcomes say.
    in_flight : int
        Requests of this VM that are at it.
    """

    __slots__ = ("instance", "target", "suspicion", "in_flight", "_warm_at")
    __slots__ += ("_reports", "_unreachable_until", "_unreachable_s")

    def __init__(self, instance: Instance, now: float) -> None:
        self.suspicion = Suspicion()
        self.in_flight = 0
        self._reports: dict[str, tuple[int, float]] = {}
        self._unreachable_until = float("-inf")
        self._unreachable_s = UNREACHABLE_S
        self._warm_at = now + instance.warmup_left_s
        self.instance = instance
        self.target = Target(
            instance.target_id,
            instance.address,
            instance.failure_domain,
            instance.slots,
        )

    def is_same(self, instance: Instance) -> bool:
        """Return whether `instance` is the same run of the same target."""
        mine = self.instance
        return (mine.address, mine.service, mine.incarnation) == (
            instance.address,
            instance.service,
            instance.incarnation,
        )

    def is_warm(self, now: float) -> bool:
        """Return whether it has been up for long enough to be fast."""
        return now >= self._warm_at

    def is_reachable(self, now: float) -> bool:
        """Return whether this VM may try to connect to it."""
        return now >= self._unreachable_until

    def note_unreachable(self, now: float) -> None:
        """Note that no connection could be opened; only this VM avoids it."""
        self._unreachable_until = now + self._unreachable_s
        self._unreachable_s = min(self._unreachable_s * 2.0, MAX_UNREACHABLE_S)

    def note_reached(self) -> None:
        """Note that it answered this VM."""
        self._unreachable_s = UNREACHABLE_S

    def note_load(self, sender: str, in_flight: int, now: float) -> None:
        """Take a peer's report on its own requests."""
        if in_flight:
            self._reports[sender] = (in_flight, now)
        else:
            self._reports.pop(sender, None)

    def load(self, now: float) -> float:
        """Return the known requests at it for each of its slots."""
        oldest = now - REPORT_LIFE_S
        known = sum(n for n, at in self._reports.values() if at >= oldest)
        return (self.in_flight + known) / self.instance.slots
