"""The asks that this VM has sent and that are not answered."""

from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.pending_grant_request import PendingAsk


class SentAsks:
    """Numbers asks, and keeps those that wait for their answer or missed it.

    An ask that got no answer in time counts as late. Its answer may still bring
    a grant that can be used, so it is kept for as long as a grant lives.

    Parameters
    ----------
    options : LimitOptions
        Settings of the limits.
    first : int
        Number before that of the first ask.
    """

    __slots__ = ("_options", "_seq", "_pending", "_late")

    def __init__(self, options: LimitOptions, first: int) -> None:
        self._options = options
        self._seq = first
        self._pending: dict[int, PendingAsk] = {}
        self._late: dict[int, PendingAsk] = {}

    def __bool__(self) -> bool:
        return bool(self._pending or self._late)

    def next_seq(self) -> int:
        """Return the number of a new ask."""
        self._seq += 1
        return self._seq

    def add(self, seq: int, ask: PendingAsk) -> None:
        """Keep an ask that is sent now."""
        self._pending[seq] = ask

    def find(self, seq: int) -> PendingAsk | None:
        """Return the ask that an answer belongs to."""
        return self._pending.get(seq) or self._late.get(seq)

    def close(self, seq: int) -> bool:
        """Forget an ask; return whether its answer was still counted on."""
        self._late.pop(seq, None)
        return self._pending.pop(seq, None) is not None

    def take_late(self, now: float) -> list[PendingAsk]:
        """Return the asks that became late, and forget the oldest late ones."""
        became_late: list[PendingAsk] = []
        for seq in _sent_before(self._pending, now - self._options.ask_timeout_s):
            ask = self._late[seq] = self._pending.pop(seq)
            became_late.append(ask)
        for seq in _sent_before(self._late, now - self._options.max_ttl_s):
            del self._late[seq]
        return became_late


def _sent_before(asks: dict[int, PendingAsk], moment: float) -> list[int]:
    """Return the leading asks that were sent by `moment`; asks are in order."""
    early: list[int] = []
    for seq, ask in asks.items():
        if ask.sent_at > moment:
            break
        early.append(seq)
    return early
