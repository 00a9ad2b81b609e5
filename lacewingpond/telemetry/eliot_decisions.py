"""Writes decisions as eliot's messages."""

import random

from eliot import log_message


class EliotDecisionLog:
    """Writes decisions to eliot's destinations.

    Parameters
    ----------
    vm_id : str
        Added to each line.
    sample : float
        Share of the frequent decisions, 0 to 1, that is written.
    frequent : frozenset of str
        Kinds of decision that are sampled; all others are always written.
    rng : random.Random
        Draws the sample.
    """

    __slots__ = ("_vm_id", "_sample", "_frequent", "_rng")

    def __init__(
        self,
        vm_id: str,
        sample: float = 1.0,
        frequent: frozenset[str] = frozenset({"route", "place"}),
        rng: random.Random | None = None,
    ) -> None:
        self._vm_id = vm_id
        self._sample = sample
        self._frequent = frequent
        self._rng = rng or random.Random()

    def decision(self, what: str, which: str, why: str, **fields: object) -> None:
        """Write the decision, unless sampling leaves it out."""
        if what in self._frequent and self._rng.random() >= self._sample:
            return
        log_message(
            message_type=f"lacewingpond:{what}",
            vm=self._vm_id,
            which=which,
            why=why,
            **fields,
        )
