"""Finds new owners for unowned shards; asks each VM at most once."""

from collections.abc import Iterable

from msgspec import Struct
from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.messages import HeldShard, ShardOffer, ShardOfferAnswer
from lacewingpond.shards.move import Move
from lacewingpond.shards.preferred_owners import preferred_owners
from lacewingpond.shards.process import ProcessId

MAX_CANDIDATES = 3
"""VMs asked to take over one shard."""


class UnownedShard(Struct, frozen=True):
    """A shard that no process acts for, and its last owner.

    Parameters
    ----------
    shard, epoch : int
        The shard and the epoch of its row; 0 when it has none.
    vm_id : str
        The last owner; empty when there was none.
    """

    shard: int
    epoch: int
    vm_id: str


class OfferRound:
    """One round of offers, in which responses are cached by VM.

    Parameters
    ----------
    process : ProcessId
        This process, which takes over shards that no other VM accepts.
    channel : PeerChannel
        Carries the offers.
    timeout_s : float
        Timeout of each offer, in seconds.
    """

    __slots__ = ("_process", "_channel", "_timeout_s", "_responses")

    def __init__(
        self, process: ProcessId, channel: PeerChannel, timeout_s: float
    ) -> None:
        self._process = process
        self._channel = channel
        self._timeout_s = timeout_s
        self._responses: dict[str, ShardOfferAnswer | None] = {}

    def assign(
        self, unowned: UnownedShard, vm_ids: Iterable[str], held: tuple[HeldShard, ...]
    ) -> Move:
        """Return the move of a shard to the most preferred VM that accepts it.

        A VM that holds the last owner's state takes precedence over all others.

        Parameters
        ----------
        unowned : UnownedShard
            The shard.
        vm_ids : iterable of str
            Candidates, including this VM.
        held : tuple of HeldShard
            States that this process holds.

        Returns
        -------
        Move
            The assignment; clean if the new owner holds the state or there is none.
        """
        self._responses[self._process.vm_id] = ShardOfferAnswer(
            True, self._process.incarnation, held
        )
        state = HeldShard(unowned.shard, unowned.epoch, unowned.vm_id)
        accepting = [
            vm_id
            for vm_id in preferred_owners(unowned.shard, vm_ids, MAX_CANDIDATES)
            if self._response_of(vm_id).accepted
        ]
        for vm_id in accepting:
            if state in self._response_of(vm_id).held:
                return self._move(unowned, vm_id, True)
        new_owner = accepting[0] if accepting else self._process.vm_id
        return self._move(unowned, new_owner, clean=unowned.epoch == 0)

    def _move(self, unowned: UnownedShard, vm_id: str, clean: bool) -> Move:
        new_owner = ProcessId(vm_id, self._response_of(vm_id).incarnation)
        return Move(unowned.shard, unowned.epoch, new_owner, clean)

    def _response_of(self, vm_id: str) -> ShardOfferAnswer:
        if vm_id not in self._responses:
            self._responses[vm_id] = self._request_response(vm_id)
        return self._responses[vm_id]

    def _request_response(self, vm_id: str) -> ShardOfferAnswer:
        result = self._channel.call(vm_id, ShardOffer(), self._timeout_s)
        response = result.ok_value if isinstance(result, Ok) else None
        if isinstance(response, ShardOfferAnswer):
            return response
        return ShardOfferAnswer(False, "")
