"""Counts of a stand-in target."""

from collections import OrderedDict

from msgspec import Struct

MAX_NAMES = 100_000


class BoundedCounter:
    """Counts by name, of at most `MAX_NAMES` names; the oldest is dropped first."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: OrderedDict[str, int] = OrderedDict()

    def add(self, name: str) -> None:
        """Add one to the count of `name`."""
        self._counts[name] = self._counts.get(name, 0) + 1
        if len(self._counts) > MAX_NAMES:
            self._counts.popitem(last=False)

    def as_dict(self) -> dict[str, int]:
        """Return a copy of the counts."""
        return dict(self._counts)


class StatsReport(Struct, frozen=True):
    """Response of ``/_stats``.

    Parameters
    ----------
    arrived : int
        Requests received.
    run : int
        Requests whose processing began.
    failed : int
        Requests that failed because of an injected fault.
    shed : int
        Requests refused without being run.
    crashes, probes : int
        Crashes and health checks.
    cancelled : int
        Cancellations of requests that were in progress.
    in_flight : int
        Requests in progress now.
    keys_seen : int
        Requests with an API key of the caller, which a proxy must never forward.
    last_work_at : float
        When the processing of a request last began, in seconds of the target's clock.
    runs_by_idempotency_key, runs_by_request_id : dict of str to int
        Requests that were run, by the value of the header.
    deadlines, key_headers : dict of str to int
        Requests by deadline header with its value, and by name of the key header.
    """

    arrived: int
    run: int
    failed: int
    shed: int
    crashes: int
    probes: int
    cancelled: int
    in_flight: int
    keys_seen: int
    last_work_at: float
    runs_by_idempotency_key: dict[str, int]
    runs_by_request_id: dict[str, int]
    deadlines: dict[str, int]
    key_headers: dict[str, int]


class TargetStats:
    """Current counters of a stand-in target; `StatsReport` describes them."""

    __slots__ = ("arrived", "run", "failed", "shed", "crashes", "probes", "cancelled")
    __slots__ += ("in_flight", "keys_seen", "last_work_at", "idempotency_keys")
    __slots__ += ("request_ids", "deadlines", "key_headers")

    def __init__(self) -> None:
        self.arrived = 0
        self.run = 0
        self.failed = 0
        self.shed = 0
        self.crashes = 0
        self.probes = 0
        self.cancelled = 0
        self.in_flight = 0
        self.keys_seen = 0
        self.last_work_at = 0.0
        self.idempotency_keys = BoundedCounter()
        self.request_ids = BoundedCounter()
        self.deadlines = BoundedCounter()
        self.key_headers = BoundedCounter()

    def report(self) -> StatsReport:
        """Return a copy of all counts."""
        return StatsReport(
            arrived=self.arrived,
            run=self.run,
            failed=self.failed,
            shed=self.shed,
            crashes=self.crashes,
            probes=self.probes,
            cancelled=self.cancelled,
            in_flight=self.in_flight,
            keys_seen=self.keys_seen,
            last_work_at=self.last_work_at,
            runs_by_idempotency_key=self.idempotency_keys.as_dict(),
            runs_by_request_id=self.request_ids.as_dict(),
            deadlines=self.deadlines.as_dict(),
            key_headers=self.key_headers.as_dict(),
        )
