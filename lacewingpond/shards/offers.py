"""Finds takers for free shards, each VM asked once."""

from collections.abc import Iterable

from msgspec import Struct
from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.messages import HeldShard, ShardOffer, ShardOfferAnswer
from lacewingpond.shards.move import Move
from lacewingpond.shards.placement import takers
from lacewingpond.shards.process import ProcessId

TAKERS_ASKED = 3
"""Most VMs that are asked to take one shard."""


class FreeShard(Struct, frozen=True):
    """A shard without an owner that acts, and its last row.

    Parameters
    ----------
    shard, epoch : int
        The shard and the epoch of its row; 0 when there is none.
    vm_id : str
        The last owner; empty when there was none.
    """

    shard: int
    epoch: int
    vm_id: str


class Offers:
    """One round of offers.

    Parameters
    ----------
    me : ProcessId
        This process, which takes what nobody else does.
    channel : PeerChannel
        Carries the offers.
    timeout_s : float
        Longest wait for an answer, in seconds.
    """

    __slots__ = ("_me", "_channel", "_timeout_s", "_answers")

    def __init__(self, me: ProcessId, channel: PeerChannel, timeout_s: float) -> None:
        self._me = me
        self._channel = channel
        self._timeout_s = timeout_s
        self._answers: dict[str, ShardOfferAnswer | None] = {}

    def move(
        self, free: FreeShard, vm_ids: Iterable[str], held: tuple[HeldShard, ...]
    ) -> Move:
        """Return the move of a shard to the best VM that accepts.

        A VM that holds the state of the last owner goes before all others.

        Parameters
        ----------
        free : FreeShard
            The shard.
        vm_ids : iterable of str
            Candidates, this VM among them.
        held : tuple of HeldShard
            States that this process holds.
        """
        self._answers[self._me.vm_id] = ShardOfferAnswer(
            True, self._me.incarnation, held
        )
        state = HeldShard(free.shard, free.epoch, free.vm_id)
        accepting = [
            vm_id
            for vm_id in takers(free.shard, vm_ids, TAKERS_ASKED)
            if self._answer(vm_id).accepted
        ]
        for vm_id in accepting:
            if state in self._answer(vm_id).held:
                return self._move(free, vm_id, True)
        taker = accepting[0] if accepting else self._me.vm_id
        return self._move(free, taker, clean=free.epoch == 0)

    def _move(self, free: FreeShard, vm_id: str, clean: bool) -> Move:
        taker = ProcessId(vm_id, self._answer(vm_id).incarnation)
        return Move(free.shard, free.epoch, taker, clean)

    def _answer(self, vm_id: str) -> ShardOfferAnswer:
        if vm_id not in self._answers:
            self._answers[vm_id] = self._ask(vm_id)
        return self._answers[vm_id]

    def _ask(self, vm_id: str) -> ShardOfferAnswer:
        result = self._channel.call(vm_id, ShardOffer(), self._timeout_s)
        answer = result.ok_value if isinstance(result, Ok) else None
        if isinstance(answer, ShardOfferAnswer):
            return answer
        return ShardOfferAnswer(False, "")
