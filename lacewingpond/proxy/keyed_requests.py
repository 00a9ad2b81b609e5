"""Interface that runs requests with an idempotency key."""

from typing import Protocol

from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.reply import Reply


class KeyedRequests(Protocol):
    """Runs each keyed request at most once in the fleet."""

    def submit(self, request: KeyedRequest) -> Reply:
        """Return the reply to a keyed request; blocks until the request has run."""
        ...
