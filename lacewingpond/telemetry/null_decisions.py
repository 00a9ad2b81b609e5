"""Decision log that drops everything."""


class NullDecisionLog:
    """Drops all decisions."""

    __slots__ = ()

    def decision(self, what: str, which: str, why: str, **fields: object) -> None:
        """Drop the decision."""
