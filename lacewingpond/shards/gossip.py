"""Spreads the table between VMs: pushed on once by each, repaired by pulls."""

import random
from collections.abc import Iterable

from result import Ok

from lacewingpond.peers.base import PeerChannel
from lacewingpond.shards.fleet import FleetView
from lacewingpond.shards.local_shards import LocalShards
from lacewingpond.shards.messages import ShardNews, ShardPull
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.validity import Trust


class TableSpread:
    """Passes changed rows on to a few VMs of the region.

    Parameters
    ----------
    options : ShardOptions
        Fan-out and timeouts.
    local, trust : LocalShards, Trust
        The newest known table, and whether its shards may be adopted.
    fleet : FleetView
        Whom to tell.
    channel : PeerChannel
        Carries the rows.
    rng : random.Random
        Chooses the receivers.
    """

    __slots__ = ("_options", "_local", "_trust", "_fleet", "_channel", "_rng")

    def __init__(
        self,
        options: ShardOptions,
        local: LocalShards,
        trust: Trust,
        fleet: FleetView,
        channel: PeerChannel,
        rng: random.Random,
    ) -> None:
        self._options = options
        self._local = local
        self._trust = trust
        self._fleet = fleet
        self._channel = channel
        self._rng = rng
        channel.register(ShardNews, self._on_news)
        channel.register(ShardPull, self._on_pull)

    def push(self, after_version: int, first: Iterable[str] = ()) -> None:
        """Send the rows written after a version to `first` and a few others."""
        table = self._local.table
        rows = table.changed_after(after_version)
        news = ShardNews(after_version, table.version, rows)
        others = self._fleet.live_ids()
        some = self._rng.sample(others, min(self._options.fanout, len(others)))
        for vm_id in sorted({*first, *some} - {self._local.me.vm_id}):
            self._channel.send(vm_id, news)

    def pull(self) -> None:
        """Ask a random VM of the region for newer rows."""
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
        fits = news.after_version <= table.version < news.version
        if fits:
            self._local.learn(table.merged(news.version, news.rows))
        return fits

    def _on_news(self, sender: str, news: ShardNews) -> None:
        known = self._local.table.version
        if news.version <= known:
            return
        if not self._merge(news):
            self._pull_from(sender)
        if self._local.table.version > known:
            self.push(known)
        if self._trust.holds():
            self._local.adopt()

    def _on_pull(self, sender: str, message: ShardPull) -> ShardNews:
        table = self._local.table
        rows = table.changed_after(message.version)
        return ShardNews(message.version, table.version, rows)
