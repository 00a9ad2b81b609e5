"""Requests whose runs ended with a crash."""


class Suspect:
    """Crashes during runs of one fingerprint, counted by the owner of its shard.

    Parameters
    ----------
    now : float
        Current time, in monotonic seconds.

    Attributes
    ----------
    p_value : float
        Probability that a harmless request runs during as many crashes.
    crashed_at : dict of str to float
        Time of the last report about each crashed target.
    last_seen_at : float
        Time of the last report.
    """

    __slots__ = ("p_value", "crashed_at", "last_seen_at")

    def __init__(self, now: float) -> None:
        self.p_value = 1.0
        self.crashed_at: dict[str, float] = {}
        self.last_seen_at = now

    def add(
        self, target_id: str, crash_share: float, now: float, same_crash_s: float
    ) -> None:
        """Count a crash, unless it was counted within `same_crash_s`.

        Parameters
        ----------
        target_id : str
            The target that crashed.
        crash_share : float
            Share of the service's runs that end with a crash.
        now : float
            Current time, in monotonic seconds.
        same_crash_s : float
            Time within which reports about one target are taken for one crash.
        """
        self.last_seen_at = now
        last = self.crashed_at.get(target_id)
        self.crashed_at[target_id] = now
        if last is None or now - last > same_crash_s:
            self.p_value *= crash_share
