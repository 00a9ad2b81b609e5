"""Grant requests that this VM has sent and that are not answered yet."""

from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.pending_grant_request import PendingGrantRequest


class PendingGrantRequests:
    """Assigns sequence numbers to grant requests and tracks unanswered ones.

    A request without an answer in time becomes late. A late answer may still bring
    a usable grant, so the request is kept for the longest time to live of a grant.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    first : int
        Sequence number before the first one assigned.
    """

    __slots__ = ("_options", "_seq", "_pending", "_late")

    def __init__(self, options: LimitOptions, first: int) -> None:
        self._options = options
        self._seq = first
        self._pending: dict[int, PendingGrantRequest] = {}
        self._late: dict[int, PendingGrantRequest] = {}

    def __bool__(self) -> bool:
        return bool(self._pending or self._late)

    def next_seq(self) -> int:
        """Return the sequence number of a new request."""
        self._seq += 1
        return self._seq

    def add(self, seq: int, request: PendingGrantRequest) -> None:
        """Track a request that is about to be sent."""
        self._pending[seq] = request

    def find(self, seq: int) -> PendingGrantRequest | None:
        """Return the unanswered request with this number, or None."""
        return self._pending.get(seq) or self._late.get(seq)

    def close(self, seq: int) -> bool:
        """Stop tracking a request; return True unless it was late or unknown."""
        self._late.pop(seq, None)
        return self._pending.pop(seq, None) is not None

    def take_late(self, now: float) -> list[PendingGrantRequest]:
        """Return the requests that became late, and drop the oldest late ones."""
        became_late: list[PendingGrantRequest] = []
        for seq in _sent_before(self._pending, now - self._options.ask_timeout_s):
            request = self._late[seq] = self._pending.pop(seq)
            became_late.append(request)
        for seq in _sent_before(self._late, now - self._options.max_ttl_s):
            del self._late[seq]
        return became_late


def _sent_before(requests: dict[int, PendingGrantRequest], cutoff: float) -> list[int]:
    """Return the numbers of requests sent up to `cutoff`, given them in that order."""
    early: list[int] = []
    for seq, request in requests.items():
        if request.sent_at > cutoff:
            break
        early.append(seq)
    return early
