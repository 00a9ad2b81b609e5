"""Gathers what belongs to one request, and the beliefs that it rested on."""

from lacewingpond.explain.log_line import LogLine

VM_BELIEFS = ("start", "stop", "config", "proof", "store", "source")
"""Kinds of lines on what a VM believes; the last of each counts."""
TARGET_BELIEFS = ("target", "eject")
RECENT_S = 30.0  # a belief about a target is replaced within a spell or two


class Story:
    """Reads lines in their order and keeps those about one request.

    Parameters
    ----------
    request_id : str
        The request.

    Attributes
    ----------
    lines : list of str
        The story so far.
    """

    __slots__ = ("lines", "_request_id", "_beliefs", "_told")

    def __init__(self, request_id: str) -> None:
        self.lines: list[str] = []
        self._request_id = request_id
        self._beliefs: dict[tuple[str, str, str], LogLine] = {}
        self._told: set[int] = set()

    def take(self, line: LogLine) -> None:
        """Take one line, in the order in which it was logged."""
        if line.which == self._request_id:
            self._tell(line)
        elif line.what in VM_BELIEFS:
            self._beliefs[(line.vm, line.what, "")] = line
        elif line.what in TARGET_BELIEFS:
            self._beliefs[(line.vm, line.what, line.which)] = line

    def _tell(self, line: LogLine) -> None:
        for kind in VM_BELIEFS:
            self._tell_belief(line, kind, "", float("inf"))
        target = str(line.fields.get("target", ""))
        if target:
            for kind in TARGET_BELIEFS:
                self._tell_belief(line, kind, target, RECENT_S)
        self.lines.append(_text(line, f"{line.what}: {line.why}"))

    def _tell_belief(
        self, line: LogLine, kind: str, which: str, max_age_s: float
    ) -> None:
        belief = self._beliefs.get((line.vm, kind, which))
        if belief is None or id(belief) in self._told:
            return
        age_s = line.at - belief.at
        if age_s > max_age_s:
            return
        self._told.add(id(belief))
        text = f"  belief, {age_s:.1f} s old: {kind} {belief.which}: {belief.why}"
        self.lines.append(_text(belief, text))


def _text(line: LogLine, what: str) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.at:.3f} {line.vm} {what}" + (f" ({fields})" if fields else "")
