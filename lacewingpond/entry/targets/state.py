"""State of one target as this VM sees it."""

from lacewingpond.config.model import Target
from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.entry.room.rejection_pause import RejectionPause
from lacewingpond.entry.targets.health import EntryTargetHealth
from lacewingpond.entry.targets.warmup import Warmup

LOAD_MAX_AGE_S = 2.5  # twice the interval of reports in the largest failure domain
CONNECT_BACKOFF_S = 0.5  # after the first failed connection attempt
MAX_CONNECT_BACKOFF_S = 4.0  # longest time until a restored network path is used


class TargetState:
    """One target with its load and health.

    Attributes
    ----------
    spec : EntryTarget
        The target as its entry in the store describes it.
    target : Target
        The target in the form that `TargetClient` takes.
    health : EntryTargetHealth
        Its health, from the outcomes that the fleet reports.
    warmup : Warmup
        Until when it is cold.
    rejections : RejectionPause
        Whether it gets no requests, as it rejected some.
    in_flight : int
        Number of requests of this VM that it is processing.
    last_used_at : float
        Time at which it is known to have had a request of any VM.
    """

    __slots__ = ("spec", "target", "health", "in_flight", "last_used_at", "warmup")
    __slots__ += ("_peer_loads", "_unreachable_until", "_backoff_s")
    __slots__ += ("_known_load", "_expire_at", "rejections")

    def __init__(self, spec: EntryTarget, now: float) -> None:
        self.health = EntryTargetHealth()
        self.rejections = RejectionPause()
        self.in_flight = 0
        self.last_used_at = now
        self._peer_loads: dict[str, tuple[int, float]] = {}
        self._known_load = 0  # sum of `_peer_loads`
        self._expire_at = float("inf")
        self._unreachable_until = float("-inf")
        self._backoff_s = CONNECT_BACKOFF_S
        self.warmup = Warmup(now + spec.warmup_left_s)
        self.spec = spec
        self.target = Target(
            spec.target_id,
            spec.address,
            spec.failure_domain,
            spec.slots,
        )

    def is_same_incarnation(self, spec: EntryTarget) -> bool:
        """Return whether `spec` is the same incarnation at the same address."""
        mine = self.spec
        return (mine.address, mine.service, mine.incarnation) == (
            spec.address,
            spec.service,
            spec.incarnation,
        )

    def is_warm(self, now: float) -> bool:
        """Return whether it is not cold."""
        return not self.warmup.left_s(now)

    def update_spec(self, spec: EntryTarget, now: float) -> None:
        """Take over a changed entry of the same incarnation."""
        if spec is not self.spec:
            self.warmup.extend(now + spec.warmup_left_s)
        self.spec = spec

    def is_reachable(self, now: float) -> bool:
        """Return whether this VM may try to connect to the target."""
        return now >= self._unreachable_until

    def record_connect_failure(self, now: float) -> None:
        """Back off after a failed connection attempt; only this VM does so."""
        self._unreachable_until = now + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2.0, MAX_CONNECT_BACKOFF_S)

    def reset_connect_backoff(self) -> None:
        """Make the next connect backoff the shortest; one that is running goes on."""
        self._backoff_s = CONNECT_BACKOFF_S

    def update_peer_load(self, sender: str, in_flight: int, now: float) -> None:
        """Set the number of requests that a peer has in flight at the target."""
        old, _ = self._peer_loads.pop(sender, (0, 0.0))
        self._known_load += in_flight - old
        if in_flight:
            self.last_used_at = now
            self._peer_loads[sender] = (in_flight, now)
            self._expire_at = min(self._expire_at, now + LOAD_MAX_AGE_S)

    def load(self, now: float) -> float:
        """Return the number of known requests in flight per slot."""
        if now > self._expire_at:
            self._drop_old_loads(now)
        return (self.in_flight + self._known_load) / self.spec.slots

    def _drop_old_loads(self, now: float) -> None:
        oldest = now - LOAD_MAX_AGE_S
        known = {k: v for k, v in self._peer_loads.items() if v[1] >= oldest}
        self._peer_loads = known
        self._known_load = sum(in_flight for in_flight, _ in known.values())
        first = min((at for _, at in known.values()), default=float("inf"))
        self._expire_at = first + LOAD_MAX_AGE_S
