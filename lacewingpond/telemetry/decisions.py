"""Interface of decision logs."""

from typing import Protocol


class DecisionLog(Protocol):
    """Records decisions: what was decided, about which object, and why."""

    def decision(self, what: str, which: str, why: str, **fields: object) -> None:
        """Record one decision.

        Parameters
        ----------
        what : str
            Event, such as ``refuse``.
        which : str
            Id or name of the object that the decision is about.
        why : str
            Reason.
        **fields : object
            Further plain values; never an API key.
        """
        ...
