"""Counts decisions and attempts, and gives the figures as text."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from lacewingpond.http.request import Request
from lacewingpond.http.response import Response
from lacewingpond.telemetry.decisions import DecisionLog

BY_REASON = frozenset({"attempt", "refuse"})
"""Kinds of decision whose reasons come from a short list."""
MAX_SERIES = 200  # a text that slips in as a reason must not grow the page
MAX_ATTEMPT_MS = 600_000  # no client waits longer
DIGITS = 2  # of the latencies; 0.1 MB
PERCENTILES = (50.0, 99.0, 99.9)
OTHER = "other"


class DecisionMetrics:
    """Passes decisions on to a log and counts them.

    Parameters
    ----------
    log : DecisionLog
        Takes the decisions.
    path : str
        Where the figures are read.
    """

    __slots__ = ("_log", "_path", "_counts", "_attempts")

    def __init__(self, log: DecisionLog, path: str) -> None:
        self._log = log
        self._path = path
        self._counts: Counter[tuple[str, str]] = Counter()
        self._attempts = HdrHistogram(1, MAX_ATTEMPT_MS, DIGITS)

    def decision(self, what: str, which: str, why: str, **fields: object) -> None:
        """Count one decision and pass it on."""
        self._log.decision(what, which, why, **fields)
        series = (what, why if what in BY_REASON else "")
        if series not in self._counts and len(self._counts) >= MAX_SERIES:
            series = (what, OTHER)
        self._counts[series] += 1
        took_ms = fields.get("ms")
        if what == "attempt" and isinstance(took_ms, int):
            self._attempts.record_value(min(max(took_ms, 1), MAX_ATTEMPT_MS))

    def handle(self, req: Request) -> Response:
        """Answer a request for the figures."""
        if req.path.partition("?")[0] != self._path:
            return Response(404)
        return Response(200, body=self.text().encode())

    def text(self) -> str:
        """Return all figures, one on each line."""
        lines = [
            f'lacewingpond_decisions_total{{what="{what}",why="{why}"}} {count}'
            for (what, why), count in sorted(self._counts.items())
        ]
        lines += [
            f'lacewingpond_attempt_milliseconds{{percentile="{percentile:g}"}} '
            f"{self._attempts.get_value_at_percentile(percentile)}"
            for percentile in PERCENTILES
        ]
        total = self._attempts.get_total_count()
        lines.append(f"lacewingpond_attempt_milliseconds_count {total}")
        return "\n".join(lines) + "\n"
