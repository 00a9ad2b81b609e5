"""Order of the reasons for which a target gets no requests, or only some.

| state of the target | requests that it gets |
| --- | --- |
| leaving | none, until its next incarnation |
| evacuated | none, until the evacuation of its failure domain ends |
| paused | none, until the pause ends |
| limited | none, until a token is available |
| unreachable | only while all others are unreachable too |
| ejected | retryable ones as trials; others if no other target is left |
| eligible | all |

A target in several states is in the first of them.
"""

from collections.abc import Iterable
from enum import IntEnum


class Eligibility(IntEnum):
    """Which requests a target gets; a higher value excludes more of them."""

    ELIGIBLE = 0
    EJECTED = 1
    UNREACHABLE = 2
    LIMITED = 3
    PAUSED = 4
    EVACUATED = 5
    LEAVING = 6


def eligibility(
    leaving: bool,
    evacuated: bool,
    paused: bool,
    limited: bool,
    unreachable: bool,
    ejected: bool,
) -> Eligibility:
    """Return the strictest state of a target.

    Parameters
    ----------
    leaving : bool
        Whether the target has said that it accepts no new requests.
    evacuated : bool
        Whether its failure domain is evacuated.
    paused : bool
        Whether it has asked this VM for a pause that has not ended.
    limited : bool
        Whether no token of the limit that it names is available.
    unreachable : bool
        Whether this VM backs off after a failed connection to it.
    ejected : bool
        Whether it is ejected as unhealthy.
    """
    states = (
        (leaving, Eligibility.LEAVING),
        (evacuated, Eligibility.EVACUATED),
        (paused, Eligibility.PAUSED),
        (limited, Eligibility.LIMITED),
        (unreachable, Eligibility.UNREACHABLE),
        (ejected, Eligibility.EJECTED),
    )
    return next((found for holds, found in states if holds), Eligibility.ELIGIBLE)


TRIALS = frozenset({Eligibility.ELIGIBLE, Eligibility.EJECTED})
"""States of the targets for a request that may serve as a trial of ejected ones."""


def best_available(
    states: Iterable[Eligibility], retryable: bool
) -> frozenset[Eligibility]:
    """Return the states whose targets may get a request, given those of all targets.

    Empty if no target may.

    Parameters
    ----------
    states : iterable of Eligibility
        States of the targets that were not tried yet.
    retryable : bool
        Whether the request may be retried, so that it may serve as a trial.
    """
    present = set(states)
    if Eligibility.ELIGIBLE in present:
        if retryable:
            return TRIALS
        return frozenset({Eligibility.ELIGIBLE})
    for fallback in (Eligibility.EJECTED, Eligibility.UNREACHABLE):
        if fallback in present:
            return frozenset({fallback})
    return frozenset()
