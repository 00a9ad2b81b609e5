"""Metrics derived from logged decisions, served as text."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from lacewingpond.http.request import Request
from lacewingpond.http.response import Response
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

EVENTS_WITH_REASON = frozenset({"admission", "attempt", "hedge", "refuse"})
"""Events whose reasons come from a short list, so that each gets its own series."""
MAX_SERIES = 200  # bounds the page if free text is logged as a reason
MAX_ATTEMPT_MS = 600_000  # no client waits longer
SIGNIFICANT_DIGITS = 2  # of latencies; the histogram takes 0.1 MB
PERCENTILES = (50.0, 99.0, 99.9)
OTHER_REASON = "other"
REMOVED = ("target", "removed")
"""Decision after which nothing that a target said counts any more."""


class DecisionMetrics:
    """A decision log that counts decisions and forwards them to another log.

    Parameters
    ----------
    log : DecisionLog
        Receives the decisions.
    path : str
        HTTP path of the metrics.
    clock : Clock
        Ends the pauses of targets.
    """

    __slots__ = ("_log", "_path", "_clock", "_counts", "_attempts", "_limited")
    __slots__ += ("_leaving", "_paused_until", "_versions", "_era", "_spilling")
    __slots__ += ("_hedging", "_evacuated")

    def __init__(self, log: DecisionLog, path: str, clock: Clock) -> None:
        self._log = log
        self._path = path
        self._clock = clock
        self._leaving: set[str] = set()
        self._versions: dict[str, object] = {}
        self._era: str | None = None
        self._hedging: dict[str, object] = {}
        self._evacuated = 0
        self._paused_until: dict[str, float] = {}
        self._counts: Counter[tuple[str, str]] = Counter()
        self._limited: set[str] = set()
        self._spilling: set[str] = set()
        self._attempts = HdrHistogram(1, MAX_ATTEMPT_MS, SIGNIFICANT_DIGITS)

    def decision(self, what: str, which: str, why: str, **fields: object) -> None:
        """Count one decision and forward it."""
        self._log.decision(what, which, why, **fields)
        series = (what, why if what in EVENTS_WITH_REASON else "")
        if series not in self._counts and len(self._counts) >= MAX_SERIES:
            series = (what, OTHER_REASON)
        self._counts[series] += 1
        self._count_statement(what, which, why, fields)
        latency_ms = fields.get("ms")
        if what == "attempt" and isinstance(latency_ms, int):
            self._attempts.record_value(min(max(latency_ms, 1), MAX_ATTEMPT_MS))

    def _count_statement(
        self, what: str, which: str, why: str, fields: dict[str, object]
    ) -> None:
        """Keep the state that gauges tell: of targets, services, versions, the era."""
        if (what, why) == REMOVED:
            self._limited.discard(which)
            self._leaving.discard(which)
            self._paused_until.pop(which, None)
        elif what == "limit":
            (self._limited.add if why == "named" else self._limited.discard)(which)
        elif what == "balance":
            (self._spilling.add if why == "spills" else self._spilling.discard)(which)
        elif what == "versions":
            self._versions = dict(fields)
        elif what == "hedging":
            self._hedging = dict(fields)
        elif what == "era":
            self._era = which
        elif what == "evacuation":
            self._evacuated = int(str(fields.get("evacuated", 0)))
        elif what == "leaving":
            self._leaving.add(which)
        elif what == "pause":
            pause_s = float(str(fields.get("pause_s", 0.0)))
            self._paused_until[which] = self._clock.now() + pause_s

    def handle(self, req: Request) -> Response:
        """Return the metrics as a response; status 404 on any other path."""
        if req.path.partition("?")[0] != self._path:
            return Response(404)
        return Response(200, body=self.text().encode())

    def text(self) -> str:
        """Return all metrics, one per line."""
        lines = [
            f'lacewingpond_decisions_total{{what="{what}",why="{why}"}} {count}'
            for (what, why), count in sorted(self._counts.items())
        ]
        lines += [
            f'lacewingpond_attempt_milliseconds{{percentile="{percentile:g}"}} '
            f"{self._attempts.get_value_at_percentile(percentile)}"
            for percentile in PERCENTILES
        ]
        now = self._clock.now()
        self._paused_until = {k: at for k, at in self._paused_until.items() if at > now}
        lines.append(f"lacewingpond_limited_targets {len(self._limited)}")
        lines.append(f"lacewingpond_spilling_services {len(self._spilling)}")
        lines.append(f"lacewingpond_leaving_targets {len(self._leaving)}")
        lines.append(f"lacewingpond_paused_targets {len(self._paused_until)}")
        lines.append(f"lacewingpond_evacuated_domains {self._evacuated}")
        if self._era is not None:
            lines.append(f"lacewingpond_store_era {self._era}")
        lines += [
            f'lacewingpond_fleet_versions{{version="{version}"}} {count}'
            for version, count in self._versions.items()
        ]
        lines += [
            f'lacewingpond_hedging_total{{count="{name}"}} {count}'
            for name, count in self._hedging.items()
        ]
        total = self._attempts.get_total_count()
        lines.append(f"lacewingpond_attempt_milliseconds_count {total}")
        return "\n".join(lines) + "\n"
