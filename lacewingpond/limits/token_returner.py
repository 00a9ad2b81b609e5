"""Return of unused tokens before their grants expire."""

import heapq

from lacewingpond.limits.allowance import Allowance
from lacewingpond.limits.allowance_table import AllowanceTable
from lacewingpond.limits.messages import GrantEnd, GrantReturn
from lacewingpond.limits.slice_owner import SliceOwner
from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.base import ShardView
from lacewingpond.telemetry.metrics import Metrics


class TokenReturner:
    """Returns unused tokens to slice owners when they are due.

    Parameters
    ----------
    vm_id : str
        This VM.
    channel : PeerChannel
        Sends messages to other VMs.
    shards : ShardView
        Owners of the shards.
    owner : SliceOwner
        Grants from the slices that this VM owns.
    allowances : AllowanceTable
        Tokens that this VM holds.
    metrics : Metrics
        Counts ``limits.returns``.
    """

    __slots__ = ("_vm_id", "_channel", "_shards", "_owner", "_allowances")
    __slots__ += ("_metrics", "_due")

    def __init__(
        self,
        vm_id: str,
        channel: PeerChannel,
        shards: ShardView,
        owner: SliceOwner,
        allowances: AllowanceTable,
        metrics: Metrics,
    ) -> None:
        self._vm_id = vm_id
        self._channel = channel
        self._shards = shards
        self._owner = owner
        self._allowances = allowances
        self._metrics = metrics
        self._due: list[tuple[float, str]] = []

    def schedule(self, bucket_id: str, return_at: float) -> None:
        """Check a bucket for unused tokens at the monotonic time `return_at`."""
        heapq.heappush(self._due, (return_at, bucket_id))

    def return_due(self, now: float) -> None:
        """Return the unused tokens of all grants that are due."""
        while self._due and self._due[0][0] <= now:
            _, bucket_id = heapq.heappop(self._due)
            allowance = self._allowances.find(bucket_id)
            if allowance is not None:
                self._return_unused(allowance, now)

    def _return_unused(self, allowance: Allowance, now: float) -> None:
        unused = allowance.pop_returnable(now)
        for shard, ended in unused.items():
            self._return(shard, allowance.bucket.bucket_id, ended)

    def _return(self, shard: int, bucket_id: str, ended: list[GrantEnd]) -> None:
        owner = self._shards.owner(shard)
        if owner is None:
            return
        message = GrantReturn(shard, bucket_id, tuple(ended))
        if owner.vm_id == self._vm_id:
            self._owner.return_tokens(self._vm_id, message)
            return
        self._metrics.incr("limits.returns")
        self._channel.send(owner.vm_id, message)
