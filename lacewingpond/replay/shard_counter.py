"""Shard component with a counter per shard, which detects lost state."""

import msgspec

from lacewingpond.shards.base import Ownership


class ExpectedCounters:
    """Expected state of all shards, and counts of the takeovers that deviate.

    Attributes
    ----------
    counters : dict of int to int
        Last counter of each shard, whichever process owned it.
    lost : int
        Number of handovers that lost the state.
    unclean_takeovers : int
        Number of takeovers without a handover.
    """

    __slots__ = ("counters", "lost", "unclean_takeovers")

    def __init__(self) -> None:
        self.counters: dict[int, int] = {}
        self.lost = 0
        self.unclean_takeovers = 0


class CounterComponent:
    """Keeps a counter per owned shard and compares it when a shard is acquired.

    Parameters
    ----------
    expected : ExpectedCounters
        Expected state, shared by all processes.
    """

    name = "number"

    __slots__ = ("_expected", "_counters")

    def __init__(self, expected: ExpectedCounters) -> None:
        self._expected = expected
        self._counters: dict[int, int] = {}

    def release(self, shard: int) -> bytes:
        """Remove `shard` and return its encoded counter."""
        return msgspec.msgpack.encode(self._counters.pop(shard))

    def acquire(self, ownership: Ownership, state: bytes | None) -> None:
        """Acquire a shard; after a handover its counter must be the last one."""
        shard = ownership.shard
        expected = self._expected.counters.get(shard, 0)
        if not ownership.clean:
            self._expected.unclean_takeovers += 1
            self._counters[shard] = expected
            return
        counter = 0 if state is None else msgspec.msgpack.decode(state, type=int)
        self._expected.lost += counter != expected
        self._counters[shard] = counter

    def work(self, shard: int) -> None:
        """Increment the counter of an owned shard."""
        self._counters[shard] += 1
        self._expected.counters[shard] = self._counters[shard]
