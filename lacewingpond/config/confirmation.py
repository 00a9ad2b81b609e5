"""Results of confirming a plan."""

from enum import Enum

from msgspec import Struct

from lacewingpond.config.diff import DiffLine


class ConfirmFailure(Enum):
    """Why a plan is not known to be applied."""

    NOT_ACCEPTED = "not-accepted"
    """The plan is not applied and will not be unless it is confirmed again."""
    UNKNOWN = "unknown"
    """The plan may be applied; confirm it again or look it up later."""
    CONFLICT = "conflict"
    """Not accepted: the configuration has changed since the plan was made."""
    NO_PLAN = "no-plan"
    """Not accepted: no such plan is pending."""


class Confirmation(Struct, frozen=True):
    """A plan that was applied.

    Parameters
    ----------
    plan_id : str
        Id of the plan.
    revision : int
        Revision that the plan created.
    repeated : bool
        True when an earlier confirmation had already applied it.
    """

    plan_id: str
    revision: int
    repeated: bool = False


class ConfirmError(Struct, frozen=True):
    """A plan that is not known to be applied.

    Parameters
    ----------
    refusal : ConfirmFailure
        What is known about the plan.
    detail : str
        The cause, in one sentence.
    changed : tuple of DiffLine
        For a conflict, what has changed since the plan's base revision.
    """

    refusal: ConfirmFailure
    detail: str
    changed: tuple[DiffLine, ...] = ()
