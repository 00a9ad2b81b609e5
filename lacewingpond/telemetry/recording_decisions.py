"""Decision log in memory."""


class RecordingDecisionLog:
    """Keeps decisions in memory, for tests and replays.

    Attributes
    ----------
    lines : list of tuple
        Recorded decisions as ``(what, which, why, fields)``.
    """

    __slots__ = ("lines",)

    def __init__(self) -> None:
        self.lines: list[tuple[str, str, str, dict[str, object]]] = []

    def decision(self, what: str, which: str, why: str, **fields: object) -> None:
        """Keep the decision."""
        self.lines.append((what, which, why, fields))
