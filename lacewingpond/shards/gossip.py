"""Gossip of the shard table: each VM pushes a change once; pulls repair losses."""

import random
from collections.abc import Iterable

from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.local_shards import LocalShards
from lacewingpond.shards.messages import ShardNews, ShardPull
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.validity import OwnershipValidity


class TableGossip:
    """Exchanges changed rows of the table with other VMs of the region.

    Parameters
    ----------
    options : ShardOptions
        Fan-out and timeouts.
    local : LocalShards
        The newest table known here.
    validity : OwnershipValidity
        Whether assigned shards may be acquired.
    fleet : FleetView
        Live VMs.
    channel : PeerChannel
        Carries the rows.
    rng : random.Random
        Chooses the receivers.
    """

    __slots__ = ("_options", "_local", "_validity", "_fleet", "_channel", "_rng")

    def __init__(
        self,
        options: ShardOptions,
        local: LocalShards,
        validity: OwnershipValidity,
        fleet: FleetView,
        channel: PeerChannel,
        rng: random.Random,
    ) -> None:
        self._options = options
        self._local = local
        self._validity = validity
        self._fleet = fleet
        self._channel = channel
        self._rng = rng
        channel.register(ShardNews, self._on_news)
        channel.register(ShardPull, self._on_pull)

    def push(self, after_version: int, receivers: Iterable[str] = ()) -> None:
        """Send the rows written after a version to `receivers` and random VMs."""
        table = self._local.table
        rows = table.changed_after(after_version)
        news = ShardNews(after_version, table.version, rows)
        others = self._fleet.live_ids()
        sample = self._rng.sample(others, min(self._options.fanout, len(others)))
        for vm_id in sorted({*receivers, *sample} - {self._local.process.vm_id}):
            self._channel.send(vm_id, news)

    def pull(self) -> None:
        """Request newer rows from a random VM of the region."""
        others = self._fleet.live_ids()
        if others:
            self._pull_from(self._rng.choice(others))

    def _pull_from(self, vm_id: str) -> None:
        request = ShardPull(self._local.table.version)
        result = self._channel.call(vm_id, request, self._options.call_timeout_s)
        if isinstance(result, Ok) and isinstance(result.ok_value, ShardNews):
            self._merge(result.ok_value)

    def _merge(self, news: ShardNews) -> bool:
        table = self._local.table
        applicable = news.after_version <= table.version < news.version
        if applicable:
            self._local.update(table.with_rows(news.version, news.rows))
        return applicable

    def _on_news(self, sender: str, news: ShardNews) -> None:
        known = self._local.table.version
        if news.version <= known:
            return
        if not self._merge(news):
            self._pull_from(sender)
        if self._local.table.version > known:
            self.push(known)
        if self._validity.is_valid():
            self._local.acquire()

    def _on_pull(self, sender: str, message: ShardPull) -> ShardNews:
        table = self._local.table
        rows = table.changed_after(message.version)
        return ShardNews(message.version, table.version, rows)
