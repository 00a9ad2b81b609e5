"""Verdicts of outlier detection, by which placement uses targets."""

from enum import IntEnum

from msgspec import Struct


class VerdictState(IntEnum):
    """State of a target as an outlier detector reports it."""

    HEALTHY = 0
    EJECTED = 1
    SLOW_START = 2
    DRAINING = 3
    """Gets no new work, even if capacity falls below the service's floor."""


class Verdict(Struct, frozen=True):
    """A target's state and its share of normal work.

    Parameters
    ----------
    state : VerdictState
        State of the target.
    weight : float
        Share of a healthy target's work, 0 to 1.
    since : float
        Time at which the state began, in seconds of the local clock.
    """

    state: VerdictState
    weight: float
    since: float = 0.0


HEALTHY = Verdict(state=VerdictState.HEALTHY, weight=1.0)
