"""Interface of a benchmark."""

from typing import Protocol

from lacewingpond.bench.series import Series


class Bench(Protocol):
    """Measures the costs of one component of the daemon.

    Attributes
    ----------
    name : str
        Name on the command line.
    summary : str
        Description in one line.
    """

    name: str
    summary: str

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds all random choices."""
        ...
