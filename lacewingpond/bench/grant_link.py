"""Two rate limiters that exchange grants over TCP on loopback."""

import random
import time

from lacewingpond.config.model import Config, Workspace
from lacewingpond.limits.bucket import workspace_bucket
from lacewingpond.limits.limiter import FleetLimiter
from lacewingpond.limits.options import LimitOptions
from lacewingpond.peers.addresses import FixedAddresses
from lacewingpond.peers.options import PeerOptions
from lacewingpond.peers.tcp import TcpPeerChannel
from lacewingpond.replay.fake_shards import FakeShardTable
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import RuntimeClock

SHARD_COUNT = 128


class GrantLink:
    """Limiters of an entry VM and of the owner of all shards, in one process.

    Parameters
    ----------
    names : tuple of str
        Names of the workspaces; their rates are higher than any benchmark uses.
    """

    __slots__ = ("_addresses", "_channels", "_table", "_cfg", "_clock", "_entry")

    def __init__(self, names: tuple[str, ...]) -> None:
        self._clock = RuntimeClock()
        self._addresses: dict[str, str] = {}
        self._channels: list[TcpPeerChannel] = []
        self._table = FakeShardTable(SHARD_COUNT, ("owner",), self._clock)
        self._cfg = Config(1, tuple(Workspace(n, 1e4, 1e4) for n in names))
        owner = self._limiter("owner")
        for ownership in self._table.owners.values():
            owner.acquire(ownership, None)
        self._entry = self._limiter("entry")

    def admit(self, names: tuple[str, ...]) -> float:
        """Admit one request of each workspace and return the processor time in s.

        Raises
        ------
        RuntimeError
            If a request is refused.
        """
        started = time.process_time()
        admitted = [self._entry.admit((workspace_bucket(n),)).admitted for n in names]
        seconds = time.process_time() - started
        if not all(admitted):
            raise RuntimeError("a request within the rate limit was refused")
        return seconds

    def close(self) -> None:
        """Stop the peer channels of both VMs."""
        for channel in self._channels:
            channel.stop()

    def _limiter(self, vm_id: str) -> FleetLimiter:
        channel = TcpPeerChannel.from_options(
            PeerOptions(),
            vm_id,
            "1",
            b"secret of the benchmark",
            FixedAddresses(self._addresses),
            self._clock,
            random.Random(1),
            NullDecisionLog(),
            CountingMetrics(),
        )
        channel.start()
        self._channels.append(channel)
        self._addresses[vm_id] = f"127.0.0.1:{channel.port}"
        limiter = FleetLimiter.from_options(
            LimitOptions(),
            ComponentContext.unlogged(
                vm_id, self._clock, random.Random(1), channel, self._table.view(vm_id)
            ),
        )
        limiter.configure(self._cfg)
        return limiter
