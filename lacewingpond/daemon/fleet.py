"""Components that communicate with the other VMs and the platform."""

import random

import msgspec

from lacewingpond.config.distributor import ConfigDistributor
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.config.service import ConfigService
from lacewingpond.daemon.addresses import DeferredAddresses
from lacewingpond.daemon.context import DaemonContext
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


class FleetComponents:
    """Peer channel, membership, shards and configuration of one VM.

    Parameters
    ----------
    cfg : Settings
        Settings of the daemon.
    context : DaemonContext
        Clock, random generator, log, metrics and secrets.

    Attributes
    ----------
    channel : TcpPeerChannel
        Exchanges messages with the other VMs.
    membership : Membership
        This VM's view of the live VMs.
    shards : ShardManager
        Ownership of shards.
    holder : ConfigHolder
        The current revision.
    distributor : ConfigDistributor
        Distributes revisions between the VMs.
    service : ConfigService
        Plans and confirms changes.
    status : FleetStatus
        Queries the revisions of all VMs on demand.
    store_calls : CallCounts
        Counts of the calls to the platform, by kind.
    """

    __slots__ = (
        "channel",
        "membership",
        "shards",
        "holder",
        "distributor",
        "service",
        "status",
        "store_calls",
    )

    def __init__(self, cfg: Settings, context: DaemonContext) -> None:
        context.log.decision("start", cfg.vm.id, "settings read")
        incarnation = f"{random.SystemRandom().getrandbits(INCARNATION_BITS):016x}"
        self.store_calls = CallCounts()
        store = HttpStore.from_options(cfg.store, self.store_calls)
        vm_list = HttpVmList.from_options(cfg.store, self.store_calls)
        addresses = DeferredAddresses()
        common = (context.clock, context.rng, context.log, context.metrics)
        self.channel = TcpPeerChannel.from_options(
            cfg.peers,
            cfg.vm.id,
            incarnation,
            context.fleet_secret,
            addresses,
            *common,
        )
        # Only one process can bind the port, so an earlier process on this VM has
        # ended by now.
        self.channel.start()
        vm = VmRecord(
            cfg.vm.id,
            f"{cfg.peers.host}:{self.channel.port}",
            cfg.vm.failure_domain,
            cfg.vm.region,
        )
        self.membership = Membership.from_options(
            cfg.membership, vm, vm_list, self.channel, *common
        )
        addresses.delegate = self.membership
        self.shards = ShardManager.from_options(
            msgspec.structs.replace(cfg.shards, region=cfg.vm.region),
            ProcessId(cfg.vm.id, incarnation),
            store,
            vm_list,
            self.membership,
            self.channel,
            *common,
        )
        self._build_config(cfg, context, store, vm)

    def _build_config(
        self, cfg: Settings, context: DaemonContext, store: HttpStore, vm: VmRecord
    ) -> None:
        self.holder = ConfigHolder()
        repository = ConfigRepository(store)
        self.distributor = ConfigDistributor(
            vm,
            self.holder,
            repository,
            self.channel,
            self.membership,
            self.membership.listed_count,
            cfg.config,
            context.clock,
            context.rng,
            context.log,
            context.metrics,
        )
        self.service = ConfigService.from_distributor(
            self.holder, repository, self.distributor, context.clock, context.log
        )
        self.status = FleetStatus(
            vm, self.holder, self.distributor, self.channel, self.membership, cfg.config
        )

    def start(self) -> None:
        """Start the background greenlets."""
        self.membership.start()
        self.shards.start()
        self.distributor.start()

    def is_initialized(self) -> bool:
        """Return whether a configuration and the shard table are known."""
        return self.holder.revision > 0 and self.shards.knows_table

    def stop(self) -> None:
        """Stop the greenlets and the channel; shards are not handed over."""
        self.distributor.stop()
        self.shards.close()
        self.membership.stop()
        self.channel.stop()
