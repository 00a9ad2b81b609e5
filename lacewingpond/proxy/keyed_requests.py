"""Interface of the requests with an idempotency key."""

from typing import Protocol

from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.reply import Reply


class KeyedRequests(Protocol):
    """Runs keyed requests at most once, over all VMs."""

    def submit(self, request: KeyedRequest) -> Reply:
        """Return the reply to a keyed request; blocks while it runs."""
        ...
