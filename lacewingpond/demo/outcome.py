"""One outcome of the demo that must hold."""

from msgspec import Struct


class DemoOutcome(Struct, frozen=True):
    """What was seen beside what must hold.

    Parameters
    ----------
    name : str
        What was tried.
    held : bool
        Whether it came out as it must.
    seen : str
        The figure, for people.
    """

    name: str
    held: bool
    seen: str


class DemoReport(Struct, frozen=True):
    """All outcomes and the counts behind them."""

    outcomes: tuple[DemoOutcome, ...]
    counts: dict[str, float]

    @property
    def all_held(self) -> bool:
        """Whether every outcome held."""
        return all(outcome.held for outcome in self.outcomes)
