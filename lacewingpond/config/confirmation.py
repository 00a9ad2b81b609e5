"""What a confirmation came to."""

from enum import Enum

from msgspec import Struct

from lacewingpond.config.diff import DiffLine


class Refusal(Enum):
    """Why a plan is not known to be in force."""

    NOT_ACCEPTED = "not-accepted"
    """The plan is not in force and will not be unless it is confirmed again."""
    UNKNOWN = "unknown"
    """The plan may be in force; confirm it again or look it up later."""
    CONFLICT = "conflict"
    """Not accepted: the configuration has changed since the plan was made."""
    NO_PLAN = "no-plan"
    """Not accepted: no such plan is pending."""


class Confirmation(Struct, frozen=True):
    """A plan that is in force.

    Parameters
    ----------
    plan_id : str
        The plan.
    revision : int
        Revision that it made.
    repeated : bool
        True when it was already in force.
    """

    plan_id: str
    revision: int
    repeated: bool = False


class ConfirmError(Struct, frozen=True):
    """A plan that is not known to be in force.

    Parameters
    ----------
    refusal : Refusal
        What is known of it.
    detail : str
        Why, in one sentence.
    changed : tuple of DiffLine
        For a conflict, what has changed since the plan's base.
    """

    refusal: Refusal
    detail: str
    changed: tuple[DiffLine, ...] = ()
