"""A part that keeps a number for each shard and finds out when it is lost."""

import msgspec

from lacewingpond.shards.base import Ownership


class ShardTruth:
    """The last number of each shard, whoever owned it."""

    __slots__ = ("numbers", "lost", "unclean")

    def __init__(self) -> None:
        self.numbers: dict[int, int] = {}
        self.lost = 0
        self.unclean = 0


class NumberPart:
    """State of one process, compared with the truth when it is adopted.

    Parameters
    ----------
    truth : ShardTruth
        Shared by all processes.
    """

    name = "number"

    __slots__ = ("_truth", "_numbers")

    def __init__(self, truth: ShardTruth) -> None:
        self._truth = truth
        self._numbers: dict[int, int] = {}

    def release(self, shard: int) -> bytes:
        """Return the number of `shard`."""
        return msgspec.msgpack.encode(self._numbers.pop(shard))

    def adopt(self, ownership: Ownership, state: bytes | None) -> None:
        """Take over the number, which must be the last one after a hand-over."""
        shard = ownership.shard
        truth = self._truth.numbers.get(shard, 0)
        if not ownership.clean:
            self._truth.unclean += 1
            self._numbers[shard] = truth
            return
        number = 0 if state is None else msgspec.msgpack.decode(state, type=int)
        self._truth.lost += number != truth
        self._numbers[shard] = number

    def work(self, shard: int) -> None:
        """Change the number as an owner does."""
        self._numbers[shard] += 1
        self._truth.numbers[shard] = self._numbers[shard]
