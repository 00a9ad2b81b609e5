"""What a load run has seen, by workspace."""

from hdrh.histogram import HdrHistogram
from msgspec import Struct

LONGEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000


class WorkspaceSummary(Struct, frozen=True):
    """The outcome of one workspace's requests.

    Parameters
    ----------
    sent, answered, refused_not_run, refused_unknown, errors : int
        Counts of requests; `answered` are those that a target answered.
    limited : int
        Those of the refusals that named the workspace's rate.
    p50_ms, p99_ms, max_ms : float
        Time from when a request was due until its answer was whole, in
        milliseconds, so that a slow sender can't hide a slow answer (coordinated
        omission).
    """

    workspace: str
    sent: int
    answered: int
    refused_not_run: int
    refused_unknown: int
    limited: int
    errors: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class LoadReport(Struct, frozen=True):
    """Outcome of a whole run; `broken` names each promise that was broken."""

    seed: int
    duration_s: float
    workspaces: tuple[WorkspaceSummary, ...]
    broken: tuple[str, ...]


class WorkspaceTally:
    """Counts one workspace's outcomes while the load runs."""

    __slots__ = (
        "name",
        "sent",
        "answered",
        "refused_not_run",
        "refused_unknown",
        "limited",
        "errors",
        "_latency",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.sent = 0
        self.answered = 0
        self.refused_not_run = 0
        self.refused_unknown = 0
        self.limited = 0
        self.errors = 0
        self._latency = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)

    def record_latency(self, seconds: float) -> None:
        """Add the time of one answer, in seconds."""
        value = int(seconds * MICROSECONDS)
        self._latency.record_value(min(max(value, 1), LONGEST_US))

    def summary(self) -> WorkspaceSummary:
        """Return the counts and percentiles so far."""
        return WorkspaceSummary(
            workspace=self.name,
            sent=self.sent,
            answered=self.answered,
            refused_not_run=self.refused_not_run,
            refused_unknown=self.refused_unknown,
            limited=self.limited,
            errors=self.errors,
            p50_ms=self._latency.get_value_at_percentile(50) / 1000,
            p99_ms=self._latency.get_value_at_percentile(99) / 1000,
            max_ms=self._latency.get_max_value() / 1000,
        )
