"""Shard component with a counter per shard, which detects lost state."""

import msgspec

from lacewingpond.shards.base import Ownership


class ShardTruth:
    """Expected state of all shards, and counts of the takeovers that deviate.

    Attributes
    ----------
    numbers : dict of int to int
        Last number of each shard, whichever process owned it.
    lost : int
        Number of handovers that lost the state.
    unclean : int
        Number of takeovers without a handover.
    """

    __slots__ = ("numbers", "lost", "unclean")

    def __init__(self) -> None:
        self.numbers: dict[int, int] = {}
        self.lost = 0
        self.unclean = 0


class NumberPart:
    """Keeps a number per owned shard and compares it when a shard is acquired.

    Parameters
    ----------
    truth : ShardTruth
        Expected state, shared by all processes.
    """

    name = "number"

    __slots__ = ("_expected", "_numbers")

    def __init__(self, truth: ShardTruth) -> None:
        self._expected = truth
        self._numbers: dict[int, int] = {}

    def release(self, shard: int) -> bytes:
        """Remove `shard` and return its encoded number."""
        return msgspec.msgpack.encode(self._numbers.pop(shard))

    def acquire(self, ownership: Ownership, state: bytes | None) -> None:
        """Acquire a shard; after a handover its number must be the last one."""
        shard = ownership.shard
        expected = self._expected.numbers.get(shard, 0)
        if not ownership.clean:
            self._expected.unclean += 1
            self._numbers[shard] = expected
            return
        number = 0 if state is None else msgspec.msgpack.decode(state, type=int)
        self._expected.lost += number != expected
        self._numbers[shard] = number

    def work(self, shard: int) -> None:
        """Increment the number of an owned shard."""
        self._numbers[shard] += 1
        self._expected.numbers[shard] = self._numbers[shard]
