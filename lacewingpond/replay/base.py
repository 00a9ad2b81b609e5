"""Interface of the replayers, which replay and generate traces."""

from enum import Enum
from typing import Protocol

from lacewingpond.replay.trace import Trace

Measures = dict[str, float]
"""Results of a replay: values by name of the measure."""


class Variant(Enum):
    """The implementation that a replay runs."""

    # The decision classes of the daemon.
    CURRENT = "current"
    # A simpler implementation for comparison.
    NAIVE = "naive"


class Replayer(Protocol):
    """Replays and generates the traces of one scenario.

    Attributes
    ----------
    scenario : str
        Name of the scenario in trace headers.
    """

    scenario: str

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Replay `trace` on a manual clock and return its measures."""
        ...

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return pairs of file name and trace, generated from `seed`."""
        ...
