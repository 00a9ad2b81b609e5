"""Logs decisions with eliot."""

import random

from eliot import log_message


class EliotDecisionLog:
    """Logs decisions as eliot messages.

    Parameters
    ----------
    vm_id : str
        Added to each message.
    sample : float
        Share of the `sampled` events, 0 to 1, that is logged.
    sampled : frozenset of str
        Frequent events of which only a sample is logged; all others always are.
    rng : random.Random
        Source of randomness for the sample.
    """

    __slots__ = ("_vm_id", "_sample", "_sampled", "_rng")

    def __init__(
        self,
        vm_id: str,
        sample: float = 1.0,
        sampled: frozenset[str] = frozenset({"route", "place"}),
        rng: random.Random | None = None,
    ) -> None:
        self._vm_id = vm_id
        self._sample = sample
        self._sampled = sampled
        self._rng = rng or random.Random()

    def decision(self, what: str, which: str, why: str, **fields: object) -> None:
        """Log the decision unless sampling drops it."""
        if what in self._sampled and self._rng.random() >= self._sample:
            return
        log_message(
            message_type=f"lacewingpond:{what}",
            vm=self._vm_id,
            which=which,
            why=why,
            **fields,
        )
