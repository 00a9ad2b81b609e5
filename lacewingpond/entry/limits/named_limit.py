"""A limit that a target named, or the knowledge that it names none any more."""


class NamedLimit:
    """What is known of the limit of one incarnation of a target.

    Attributes
    ----------
    rate : float or None
        Requests per second that the target accepts from the whole fleet; None if it
        no longer names a limit.
    observed_at : float
        Time of the newest response that shows it, in monotonic seconds. For a limit
        that has ended, the time at which the request of that response was sent.
    announced_at : float
        Time at which peers were last told it, by any VM.
    """

    __slots__ = ("rate", "observed_at", "announced_at")

    def __init__(self, rate: float | None, observed_at: float) -> None:
        self.rate = rate
        self.observed_at = observed_at
        self.announced_at = float("-inf")
