"""Collects the log lines of one request and the state behind its decisions."""

from lacewingpond.explain.log_line import LogLine

VM_STATE_EVENTS = ("start", "stop", "era", "config", "proof", "store", "source")
"""Events that change a VM's state; the last line of each is current."""
TARGET_STATE_EVENTS = ("target", "limit", "leaving", "pause", "eject", "return")
MAX_TARGET_STATE_AGE_S = 30.0  # a state is replaced within one or two gray failures


class RequestTimeline:
    """The timeline of one request.

    Each decision about the request is preceded by the state of its VM, and of the
    target that it names, where that was not shown before.

    Parameters
    ----------
    request_id : str
        Id of the request.

    Attributes
    ----------
    lines : list of str
        Output lines so far.
    """

    __slots__ = ("lines", "_request_id", "_states", "_shown")

    def __init__(self, request_id: str) -> None:
        self.lines: list[str] = []
        self._request_id = request_id
        self._states: dict[tuple[str, str, str], LogLine] = {}
        self._shown: set[int] = set()

    def add(self, line: LogLine) -> None:
        """Process one line; lines must come in the order in which they were logged."""
        if line.which == self._request_id:
            self._add_decision(line)
        elif line.what in VM_STATE_EVENTS:
            self._states[(line.vm, line.what, "")] = line
        elif line.what in TARGET_STATE_EVENTS:
            self._states[(line.vm, line.what, line.which)] = line

    def _add_decision(self, line: LogLine) -> None:
        for event in VM_STATE_EVENTS:
            self._add_state(line, event, "", float("inf"))
        target = str(line.fields.get("target", ""))
        if target:
            for event in TARGET_STATE_EVENTS:
                self._add_state(line, event, target, MAX_TARGET_STATE_AGE_S)
        self.lines.append(_format_line(line, f"{line.what}: {line.why}"))

    def _add_state(
        self, line: LogLine, event: str, which: str, max_age_s: float
    ) -> None:
        state = self._states.get((line.vm, event, which))
        if state is None or id(state) in self._shown:
            return
        age_s = line.at - state.at
        if age_s > max_age_s:
            return
        self._shown.add(id(state))
        text = f"  state, {age_s:.1f} s old: {event} {state.which}: {state.why}"
        self.lines.append(_format_line(state, text))


def _format_line(line: LogLine, what: str) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.at:.3f} {line.vm} {what}" + (f" ({fields})" if fields else "")
