"""Decides whether a request may be sent again."""

from lacewingpond.config.model import Route
from lacewingpond.retries.outcome import SendOutcome

NEVER_RAN = frozenset({SendOutcome.NOT_SENT, SendOutcome.PROVED_NOT_RUN})
MAY_HAVE_RUN = frozenset({SendOutcome.NO_ANSWER, SendOutcome.SERVER_ERROR})


def may_retry(route: Route, method: str, outcome: SendOutcome) -> bool:
    """Return whether another attempt is safe; the budget decides if it is made."""
    if outcome in NEVER_RAN:
        return True
    return outcome in MAY_HAVE_RUN and route.is_idempotent(method)
