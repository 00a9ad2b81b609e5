"""What is known about whether a request ran."""

from enum import Enum


class RunState(Enum):
    """Whether a target ran a request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    """Proved: no target has run it or ever will, nor an earlier one with its key."""
    UNKNOWN = "unknown"
    """A target may have run it."""
