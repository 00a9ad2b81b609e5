"""The rate limits that targets name, as this VM has seen them."""

from result import Result

from lacewingpond.entry.limits.parse import parse_limit
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.http.headers import Headers
from lacewingpond.telemetry.decisions import DecisionLog


class NamedLimits:
    """Logs when a target names a limit, changes it or names none any more.

    Parameters
    ----------
    header : str
        Name of the header that holds a limit.
    log : DecisionLog
        Log of changes.
    """

    __slots__ = ("_header", "_log")

    def __init__(self, header: str, log: DecisionLog) -> None:
        self._header = header
        self._log = log

    def observe(self, state: TargetState, headers: Headers) -> None:
        """Record the limit that a response of the target names, or that it names none.

        An invalid limit is ignored, and logged once for a target.
        """
        named = parse_limit(headers.get_all(self._header))
        if named.is_err():
            self._log_invalid(state, named)
            return
        limit = named.ok_value
        if limit == state.limit:
            return
        why = "ended" if limit is None else "named"
        state.limit = limit
        self._log.decision("limit", state.spec.target_id, why, rate=limit)

    def _log_invalid(
        self, state: TargetState, named: Result[float | None, str]
    ) -> None:
        if not state.invalid_limit_logged:
            state.invalid_limit_logged = True
            why = f"ignored: {named.err_value}"
            self._log.decision("limit", state.spec.target_id, why)
