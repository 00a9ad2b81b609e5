"""Counts and latencies of a load run, by workspace."""

from hdrh.histogram import HdrHistogram
from msgspec import Struct

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


class WorkspaceSummary(Struct, frozen=True):
    """Counts and latencies of one workspace's requests.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    sent : int
        Number of requests; a repeated or abandoned request counts once.
    answered : int
        Requests with a complete response of a target.
    refused_not_run : int
        Requests refused with the statement that they did not run.
    refused_unknown : int
        Requests refused without knowing whether they ran.
    limited : int
        Refusals because of the workspace's rate (status 429).
    errors : int
        Requests without a response, or with a wrong one.
    p50_ms, p99_ms, max_ms : float
        Latency in milliseconds, from the time at which a request was due until its
        response was complete. It includes the delay of a late sender, which would
        otherwise hide slow responses (coordinated omission).
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
    """Report of a load run.

    Parameters
    ----------
    seed : int
        Seed of the run.
    duration_s : float
        Time from the start to the last response, in seconds.
    workspaces : tuple of WorkspaceSummary
        Counts and latencies of each workspace.
    broken : tuple of str
        The first violations of the fleet's guarantees, one sentence each.
    """

    seed: int
    duration_s: float
    workspaces: tuple[WorkspaceSummary, ...]
    broken: tuple[str, ...]


class WorkspaceTally:
    """Counters and latency histogram of one workspace during a run.

    Parameters
    ----------
    name : str
        Name of the workspace.
    """

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
        self._latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record_latency(self, seconds: float) -> None:
        """Add a latency in seconds; values above `MAX_LATENCY_US` are capped."""
        value = int(seconds * US_PER_S)
        self._latency.record_value(min(max(value, 1), MAX_LATENCY_US))

    def summary(self) -> WorkspaceSummary:
        """Return the current counts and percentiles."""
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
