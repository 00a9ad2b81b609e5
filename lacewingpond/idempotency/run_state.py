"""What is known about whether a request ran."""

from enum import Enum


class RunState(Enum):
    """Whether a target ran a request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    """Proved: no target ran the request, nor an earlier one with its key."""
    UNKNOWN = "unknown"
