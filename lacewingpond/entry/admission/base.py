"""Interface of admission, and the admission of all requests."""

from typing import Protocol

from lacewingpond.entry.requests.refusal import EntryRefusal
from lacewingpond.entry.requests.routed_request import EntryRequest


class Admission(Protocol):
    """Decides when a request is delivered, or refuses it."""

    def admit(self, request: EntryRequest) -> EntryRefusal | None:
        """Wait until the request is admitted; return the refusal if it is not."""
        ...

    def retry_after_s(self, request: EntryRequest) -> float | None:
        """Return the retry time for the caller in seconds; None to use the default."""
        ...

    def is_most_urgent(self, request: EntryRequest) -> bool:
        """Return whether no class of its service is more urgent."""
        ...


class AdmitAll:
    """Admits each request at once and treats all of them as the most urgent class."""

    __slots__ = ()

    def admit(self, request: EntryRequest) -> EntryRefusal | None:
        """Return None."""
        return None

    def retry_after_s(self, request: EntryRequest) -> float | None:
        """Return None."""
        return None

    def is_most_urgent(self, request: EntryRequest) -> bool:
        """Return True."""
        return True
