"""A request whose run coincided with a crash."""


class Suspect:
    """Coincidences of one fingerprint, as the owner of its shard counts them.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    __slots__ = ("chance", "crashes", "seen_at")

    def __init__(self, now: float) -> None:
        self.chance = 1.0
        self.crashes: dict[str, float] = {}
        self.seen_at = now

    def add(
        self, target_id: str, crash_share: float, now: float, same_s: float
    ) -> None:
        """Count a crash, unless it is one that is counted already."""
        self.seen_at = now
        last = self.crashes.get(target_id)
        self.crashes[target_id] = now
        if last is None or now - last > same_s:
            self.chance *= crash_share
