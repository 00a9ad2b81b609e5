"""Decides whether a request may be retried."""

from lacewingpond.config.model import Route
from lacewingpond.retries.outcome import SendOutcome

NEVER_RAN = frozenset({SendOutcome.NOT_SENT, SendOutcome.PROVED_NOT_RUN})
MAY_HAVE_RUN = frozenset({SendOutcome.NO_RESPONSE, SendOutcome.SERVER_ERROR})


def may_retry(route: Route, method: str, outcome: SendOutcome) -> bool:
    """Return whether a retry is safe; the retry budget is checked elsewhere."""
    if outcome in NEVER_RAN:
        return True
    return outcome in MAY_HAVE_RUN and route.is_idempotent(method)
