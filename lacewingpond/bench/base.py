"""Interface of a benchmark."""

from typing import Protocol

from lacewingpond.bench.series import Series


class Bench(Protocol):
    """Measures the costs of one part of the daemon.

    Attributes
    ----------
    name : str
        Name on the command line.
    summary : str
        One line of help.
    """

    name: str
    summary: str

    def run(self, seed: int) -> tuple[Series, ...]:
        """Measure, with random choices drawn from `seed`."""
        ...
