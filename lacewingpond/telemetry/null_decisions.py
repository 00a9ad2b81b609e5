"""Drops decisions."""


class NullDecisionLog:
    """Drops every decision."""

    __slots__ = ()

    def decision(self, what: str, which: str, why: str, **fields: object) -> None:
        """Drop the decision."""
