"""Interface of the log of decisions."""

from typing import Protocol


class DecisionLog(Protocol):
    """Takes decisions: what was decided, about which thing, and why."""

    def decision(self, what: str, which: str, why: str, **fields: object) -> None:
        """Record one decision; `fields` hold plain values and never a key."""
        ...
