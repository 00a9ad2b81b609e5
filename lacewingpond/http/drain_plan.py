"""Phases of a drain: which requests a server still takes, and when it gives up."""

from enum import IntEnum

from msgspec import Struct

from lacewingpond.http.options import HttpOptions

SETTLE_S = 0.05  # responses that have arrived are passed on, also by a late processor
ANSWER_S = 0.1  # to send the callers of aborted requests a last response


class DrainPhase(IntEnum):
    """Phases in their order.

    | phase | request that arrives | idle connection | request that runs |
    | --- | --- | --- | --- |
    | ACCEPTING | served, then its connection is closed | stays open | goes on |
    | CLOSING_IDLE | the same, if it crossed the close | closed | goes on |
    | REFUSING | refused as not run | closed | goes on |
    | ANSWERING | refused as not run | closed | its caller is told that it ends |
    | ENDED | none | closed | aborted, if its caller does not read |

    A response that has begun is never replaced; it is cut in ENDED.
    """

    ACCEPTING = 0
    CLOSING_IDLE = 1
    REFUSING = 2
    ANSWERING = 3
    ENDED = 4


class DrainPlan(Struct, frozen=True):
    """Times at which the phases of one drain begin, in monotonic seconds.

    All are counted from its start, so that a step that is late shortens no later one
    but the time for last responses.

    Parameters
    ----------
    closing_idle_at, refusing_at, answering_at, ended_at : float
        Begin of each phase after the first.
    """

    closing_idle_at: float
    refusing_at: float
    answering_at: float
    ended_at: float

    @classmethod
    def from_options(
        cls, options: HttpOptions, started_at: float, grace_s: float
    ) -> "DrainPlan":
        """Return the plan of a drain that gives running requests `grace_s` seconds."""
        answering_at = started_at + grace_s
        return cls(
            closing_idle_at=min(started_at + options.drain_idle_s, answering_at),
            refusing_at=min(started_at + options.drain_head_s, answering_at),
            answering_at=answering_at,
            ended_at=answering_at + SETTLE_S + ANSWER_S,
        )

    def phase(self, now: float) -> DrainPhase:
        """Return the phase at a time."""
        begins = (
            (self.ended_at, DrainPhase.ENDED),
            (self.answering_at, DrainPhase.ANSWERING),
            (self.refusing_at, DrainPhase.REFUSING),
            (self.closing_idle_at, DrainPhase.CLOSING_IDLE),
        )
        found = (phase for begin, phase in begins if now >= begin)
        return next(found, DrainPhase.ACCEPTING)
