"""Outcomes of the demo."""

from msgspec import Struct


class DemoOutcome(Struct, frozen=True):
    """One required outcome and what was measured.

    Parameters
    ----------
    name : str
        The required outcome, in words.
    held : bool
        Whether the outcome was as required.
    seen : str
        The measured value, as text.
    """

    name: str
    held: bool
    seen: str


class DemoReport(Struct, frozen=True):
    """All outcomes of the demo.

    Parameters
    ----------
    outcomes : tuple of DemoOutcome
        Outcomes in the order in which they were checked.
    counts : dict of str to float
        Counts and latencies from which the outcomes were derived, by name.
    """

    outcomes: tuple[DemoOutcome, ...]
    counts: dict[str, float]

    @property
    def all_held(self) -> bool:
        """Whether all outcomes were as required."""
        return all(outcome.held for outcome in self.outcomes)
