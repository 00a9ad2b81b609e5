"""Whether a target ran a request, as far as is known."""

from enum import Enum


class RunState(Enum):
    """Whether a target ran a request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    """Proved: no target has run or will run it, or an earlier request with its key."""
    UNKNOWN = "unknown"
    """A target may have run it."""
