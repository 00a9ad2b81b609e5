"""The part of the daemon that belongs to the fleet: peers, members and shards."""

import random

import msgspec

from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.config.service import ConfigService
from lacewingpond.config.spread import ConfigSpread
from lacewingpond.daemon.addresses import LateAddresses
from lacewingpond.daemon.surroundings import Surroundings
from lacewingpond.membership.membership import Membership
from lacewingpond.operator.status import FleetStatus
from lacewingpond.peers.tcp import TcpPeerChannel
from lacewingpond.settings.model import Settings
from lacewingpond.shards.manager import ShardManager
from lacewingpond.shards.process import ProcessId
from lacewingpond.store.base import VmRecord
from lacewingpond.store.counts import CallCounts
from lacewingpond.store.http import HttpStore, HttpVmList

INCARNATION_BITS = 64


class FleetParts:
    """Everything that this VM shares with the others.

    Attributes
    ----------
    channel : TcpPeerChannel
        Streams to other VMs.
    membership : Membership
        The soft view of the fleet.
    shards : ShardManager
        Shards that this VM owns.
    holder, spread, service : ConfigHolder, ConfigSpread, ConfigService
        The configuration.
    status : FleetStatus
        Revisions of all VMs, asked for on demand.
    store_calls : CallCounts
        Calls to the platform by kind.
    """

    __slots__ = (
        "channel",
        "membership",
        "shards",
        "holder",
        "spread",
        "service",
        "status",
        "store_calls",
    )

    def __init__(self, cfg: Settings, around: Surroundings) -> None:
        around.log.decision("start", cfg.vm.id, "settings read")
        incarnation = f"{random.SystemRandom().getrandbits(INCARNATION_BITS):016x}"
        self.store_calls = CallCounts()
        store = HttpStore.from_options(cfg.store, self.store_calls)
        vm_list = HttpVmList.from_options(cfg.store, self.store_calls)
        addresses = LateAddresses()
        told = (around.clock, around.rng, around.log, around.metrics)
        self.channel = TcpPeerChannel.from_options(
            cfg.peers,
            cfg.vm.id,
            incarnation,
            around.fleet_secret,
            addresses,
            *told,
        )
        # The bound port proves that an earlier process on this VM is gone.
        self.channel.start()
        vm = VmRecord(
            cfg.vm.id,
            f"{cfg.peers.host}:{self.channel.port}",
            cfg.vm.failure_domain,
            cfg.vm.region,
        )
        self.membership = Membership.from_options(
            cfg.membership, vm, vm_list, self.channel, *told
        )
        addresses.book = self.membership
        self.shards = ShardManager.from_options(
            msgspec.structs.replace(cfg.shards, region=cfg.vm.region),
            ProcessId(cfg.vm.id, incarnation),
            store,
            vm_list,
            self.membership,
            self.channel,
            *told,
        )
        self._build_config(cfg, around, store, vm)

    def _build_config(
        self, cfg: Settings, around: Surroundings, store: HttpStore, vm: VmRecord
    ) -> None:
        self.holder = ConfigHolder()
        repository = ConfigRepository(store)
        self.spread = ConfigSpread(
            vm,
            self.holder,
            repository,
            self.channel,
            self.membership,
            self.membership.listed_count,
            cfg.config,
            around.clock,
            around.rng,
            around.log,
            around.metrics,
        )
        self.service = ConfigService.from_spread(
            self.holder, repository, self.spread, around.clock, around.log
        )
        self.status = FleetStatus(
            vm, self.holder, self.spread, self.channel, self.membership, cfg.config
        )

    def start(self) -> None:
        """Start the work in the background."""
        self.membership.start()
        self.shards.start()
        self.spread.start()

    def has_learned(self) -> bool:
        """Return whether a configuration is in force and the shards are known."""
        return self.holder.revision > 0 and self.shards.knows_table

    def stop(self) -> None:
        """End it; shards should have been handed over before."""
        self.spread.stop()
        self.shards.close()
        self.membership.stop()
        self.channel.stop()
