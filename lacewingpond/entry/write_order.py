"""Order in which targets wrote their entries, where the store's may differ."""

from collections import OrderedDict
from collections.abc import Callable

from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

LATE_WRITE_S = 30.0
"""How long an older write is ignored after a newer one, or after the removal of the
key. A store executes a call without an answer up to seconds later. A writer whose
numbers have gone back, as its time of day did, is believed again after that."""

IsOlder = Callable[[str, bytes, bytes], bool]
"""Takes a key and two of its values; returns whether the first was written earlier."""


class WriteOrder:
    """Tells which writes of a key the store has executed late.

    Parameters
    ----------
    is_older : callable
        Compares two values by the order that they state.
    clock : Clock
        Dates the newest write or removal of each key.
    log : DecisionLog
        Log of the writes that are ignored.
    """

    __slots__ = ("_is_older", "_clock", "_log", "_changed_at")

    def __init__(self, is_older: IsOlder, clock: Clock, log: DecisionLog) -> None:
        self._is_older = is_older
        self._clock = clock
        self._log = log
        # By rising time; only those of the last `LATE_WRITE_S` are kept.
        self._changed_at: OrderedDict[str, float] = OrderedDict()

    def record(self, key: str) -> None:
        """Record that a write or the removal of `key` has been applied now."""
        now = self._clock.now()
        self._changed_at[key] = now
        self._changed_at.move_to_end(key)
        while now - next(iter(self._changed_at.values())) > LATE_WRITE_S:
            self._changed_at.popitem(last=False)

    def forget(self, key: str) -> None:
        """Believe the next write of `key`, whatever its order."""
        self._changed_at.pop(key, None)

    def is_late(self, key: str, value: bytes, known: bytes) -> bool:
        """Return whether `value` was written before `known`, the newest value of `key`.

        The key may have been removed since.
        """
        changed_at = self._changed_at.get(key)
        if changed_at is None or self._clock.now() - changed_at > LATE_WRITE_S:
            return False
        if not self._is_older(key, value, known):
            return False
        self._log.decision("entry", key, "late write, ignored")
        return True
