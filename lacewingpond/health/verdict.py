"""What placement may do with a target."""

from enum import IntEnum

from msgspec import Struct


class VerdictState(IntEnum):
    """State of a target in the eyes of its judge."""

    HEALTHY = 0
    EJECTED = 1
    SLOW_START = 2
    DRAINING = 3
    """Gets no new work, whatever the floor."""


class Verdict(Struct, frozen=True):
    """A target's state and its share of normal work.

    Parameters
    ----------
    state : VerdictState
        Whether the target takes work.
    weight : float
        Share of a healthy target's work, 0 to 1.
    since : float
        When the state began, in seconds of the local clock.
    """

    state: VerdictState
    weight: float
    since: float = 0.0


HEALTHY = Verdict(state=VerdictState.HEALTHY, weight=1.0)
