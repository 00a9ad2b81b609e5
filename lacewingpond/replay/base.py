"""Interfaces of a player and of a trace generator."""

from enum import Enum
from typing import Protocol

from lacewingpond.replay.trace import Trace

Measures = dict[str, float]
"""Outcome of a replay: value by name of the measure."""


class Variant(Enum):
    """Which decisions a replay runs."""

    CURRENT = "current"
    NAIVE = "naive"


class Player(Protocol):
    """Runs the events of one scenario through decision classes.

    Attributes
    ----------
    scenario : str
        Name in the trace header.
    """

    scenario: str

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Replay `trace` on a paused clock and return what came of it."""
        ...

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return the scenario's traces by file name, drawn from `seed`."""
        ...
