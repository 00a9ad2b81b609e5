"""A small fleet on one clock: membership, shards and a faulty platform."""

import random

import gevent
from msgspec import Struct

from lacewingpond.membership.membership import Membership
from lacewingpond.membership.options import MembershipOptions
from lacewingpond.peers.memory import MemoryNetwork, MemoryOptions
from lacewingpond.replay.base import Variant
from lacewingpond.replay.interrupted_store import InterruptedStore
from lacewingpond.replay.lease_shards import LeaseShards
from lacewingpond.replay.pausable_clock import PausableClock
from lacewingpond.replay.shard_part import NumberPart, ShardTruth
from lacewingpond.shards.handover import HandOverReport
from lacewingpond.shards.manager import ShardManager
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.process import ProcessId
from lacewingpond.standin.faults import PlatformFaults
from lacewingpond.standin.faulty import FaultyStore, FaultyVmList
from lacewingpond.store.base import VmRecord
from lacewingpond.store.memory import MemoryStore, MemoryVmList
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import PausedClock

STEP_S = 0.5


class WorldOptions(Struct, frozen=True):
    """The fleet and the platform.

    Parameters
    ----------
    shards : ShardOptions
        Options of the shards.
    domains : int
        Failure domains that the VMs are spread over.
    drop_after_s : float
        Silence after which the platform drops a VM from its list.
    list_lag_s : float
        How far the list lies behind.
    message_loss, message_delay_s : float
        Faults of the network.
    """

    shards: ShardOptions = ShardOptions()
    domains: int = 3
    drop_after_s: float = 5.0
    list_lag_s: float = 2.0
    message_loss: float = 0.0
    message_delay_s: float = 0.0


class ShardVm:
    """One process of the fleet."""

    __slots__ = (
        "vm",
        "membership",
        "shards",
        "part",
        "faults",
        "store",
        "log",
        "paused_since",
        "paused_until",
        "unlisted_until",
        "stopping",
        "started_at",
    )


class ShardWorld:
    """Runs the processes step by step.

    Parameters
    ----------
    options : WorldOptions
        The fleet.
    variant : Variant
        Whether shards are owned by the real classes or by leases.
    seed : int
        Seed of all random choices.
    """

    __slots__ = (
        "options",
        "clock",
        "store",
        "vm_list",
        "network",
        "vms",
        "truth",
        "reports",
        "unowned_shard_s",
        "worst_unowned_s",
        "double_owned",
        "calls_of_ended",
        "writes_of_ended",
        "list_reads_of_ended",
        "_variant",
        "_away",
        "_rng",
        "_incarnations",
        "_dead_since",
        "_unowned_since",
        "_base_calls",
        "_base_writes",
        "_base_reads",
        "_interrupted",
    )

    def __init__(self, options: WorldOptions, variant: Variant, seed: int) -> None:
        self.options = options
        self.clock = PausedClock()
        self.store = MemoryStore(self.clock)
        self.vm_list = MemoryVmList(self.clock, lag_s=options.list_lag_s)
        self._rng = random.Random(seed)
        faults = MemoryOptions(
            loss=options.message_loss, max_delay_s=options.message_delay_s
        )
        rng = random.Random(self._rng.random())
        self.network = MemoryNetwork(self.clock, rng, faults)
        self.vms: dict[str, ShardVm] = {}
        self.truth = ShardTruth()
        self.reports: list[HandOverReport] = []
        self.unowned_shard_s = 0.0
        self.worst_unowned_s = 0.0
        self.double_owned = 0
        self.calls_of_ended = 0
        self.writes_of_ended = 0
        self.list_reads_of_ended = 0
        self._variant = variant
        self._away = False
        self._incarnations = 0
        self._dead_since: dict[str, float] = {}
        self._unowned_since: dict[int, float] = {}
        self._base_calls = 0
        self._base_writes = 0
        self._base_reads = 0
        self._interrupted = False

    def start(self, vm_id: str) -> None:
        """Start a process, in place of a dead one with the same VM id."""
        record = self._record(vm_id)
        self._dead_since.pop(vm_id, None)
        listed = [vm for vm in self.vm_list.current() if vm.vm_id != vm_id]
        self.vm_list.set((*listed, record))
        vm = ShardVm()
        vm.vm = record
        vm.faults = PlatformFaults(outage=self._away)
        vm.log = RecordingDecisionLog()
        vm.paused_since = float("-inf")
        vm.paused_until = float("-inf")
        vm.unlisted_until = float("-inf")
        vm.stopping = None
        vm.started_at = self.clock.now()
        self._build(vm)
        self.vms[vm_id] = vm

    def crash(self, vm_id: str) -> None:
        """End a process at once."""
        vm = self.vms.pop(vm_id)
        if vm.stopping is not None:
            vm.stopping.kill()
        self.network.crash(vm_id)
        self._dead_since[vm_id] = self.clock.now()
        self.calls_of_ended += vm.shards.store_calls
        self.writes_of_ended += vm.shards.store_writes
        self.list_reads_of_ended += vm.membership.list_reads

    def pause(self, vm_id: str, seconds: float) -> None:
        """Let a process stand still."""
        vm = self.vms[vm_id]
        vm.paused_since = self.clock.now()
        vm.paused_until = self.clock.now() + seconds
        self.network.pause(vm_id)

    def pause_in_call(
        self, vm_id: str, seconds: float, before: bool, kind: str = "put_if"
    ) -> None:
        """Let a process stand still just before or after its next call of a kind."""
        vm = self.vms[vm_id]
        if self._variant is Variant.NAIVE:
            self.pause(vm_id, seconds)
            return

        def stand_still() -> None:
            # One pause within another would only make the first one longer.
            alive = self.vms.get(vm_id) is vm and vm.stopping is None
            if self._interrupted or not alive:
                return
            self._interrupted = True
            self.pause(vm_id, seconds + STEP_S / 2)
            self.run(seconds)
            self._interrupted = False
            if self.vms.get(vm_id) is vm:
                self._resume(vm)

        hooks = vm.store.before if before else vm.store.after
        hooks[kind] = stand_still

    def stop(self, vm_id: str, grace_s: float = 20.0) -> None:
        """Begin a planned stop, at whose end the process exits."""
        vm = self.vms[vm_id]
        if vm.stopping is None:
            vm.membership.announce_leaving()
            vm.stopping = gevent.spawn(self._stop, vm, grace_s)

    def unlist(self, vm_id: str, seconds: float) -> None:
        """Let the platform drop a running process from its list for a time."""
        self.vms[vm_id].unlisted_until = self.clock.now() + seconds

    def set_outage(self, away: bool, vm_ids: list[str] | None = None) -> None:
        """Take the store away from all processes or some, or bring it back."""
        if vm_ids is None:
            self._away = away
        for vm_id in vm_ids or list(self.vms):
            self.vms[vm_id].faults.outage = away

    def run(self, seconds: float) -> None:
        """Let time pass; measure after each step."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._step()

    def running(self) -> list[ShardVm]:
        """Return the processes that don't stand still."""
        now = self.clock.now()
        return [vm for vm in self.vms.values() if vm.paused_until <= now]

    def owners(self) -> dict[int, list[ShardVm]]:
        """Return, for each shard, the running processes that may act for it."""
        owners: dict[int, list[ShardVm]] = {}
        for vm in self.running():
            for shard in vm.shards.owned_shards():
                owners.setdefault(shard, []).append(vm)
        return owners

    def begin_measures(self) -> None:
        """Start all measures anew, when the fleet has settled."""
        self.unowned_shard_s = 0.0
        self.worst_unowned_s = 0.0
        self._unowned_since.clear()
        self._base_calls += self.store_calls()
        self._base_writes += self.store_writes()
        self._base_reads += self.list_reads()

    def store_calls(self) -> int:
        """Return the calls of all processes for the shards, list reads included."""
        calls = sum(vm.shards.store_calls for vm in self.vms.values())
        return self.calls_of_ended + calls - self._base_calls

    def store_writes(self) -> int:
        """Return the writes of all processes."""
        writes = sum(vm.shards.store_writes for vm in self.vms.values())
        return self.writes_of_ended + writes - self._base_writes

    def list_reads(self) -> int:
        """Return the reads of the list by all processes for the membership."""
        reads = sum(vm.membership.list_reads for vm in self.vms.values())
        return self.list_reads_of_ended + reads - self._base_reads

    def _record(self, vm_id: str) -> VmRecord:
        number = int("".join(c for c in vm_id if c.isdigit()) or "0")
        domain = f"fd{number % self.options.domains}"
        return VmRecord(vm_id, f"10.0.0.1:{number}", domain, "r1")

    def _build(self, vm: ShardVm) -> None:
        vm_id = vm.vm.vm_id
        self._incarnations += 1
        process = ProcessId(vm_id, str(self._incarnations))
        rng = random.Random(self._rng.random())
        clock = PausableClock(self.clock, vm)
        channel = self.network.channel(vm_id)
        vm_list = FaultyVmList(self.vm_list, vm.faults)
        metrics = CountingMetrics()
        vm.store = InterruptedStore(FaultyStore(self.store, self.clock, vm.faults))
        vm.part = NumberPart(self.truth)
        options = MembershipOptions()
        vm.membership = Membership.from_options(
            options, vm.vm, vm_list, channel, clock, rng, vm.log, metrics
        )
        if self._variant is Variant.NAIVE:
            count = self.options.shards.shard_count
            vm.shards = LeaseShards(
                count, process, vm.store._store, channel, self.clock, vm.part
            )
            return
        vm.shards = ShardManager.from_options(
            self.options.shards,
            process,
            vm.store,
            vm_list,
            vm.membership,
            channel,
            clock,
            rng,
            vm.log,
            metrics,
        )
        vm.shards.add_part(vm.part)

    def _stop(self, vm: ShardVm, grace_s: float) -> None:
        self.reports.append(vm.shards.hand_over_all(grace_s))
        if self.vms.get(vm.vm.vm_id) is vm:
            vm.stopping = None
            self.crash(vm.vm.vm_id)

    def _step(self) -> None:
        now = self.clock.now()
        self._update_list(now)
        for vm in list(self.vms.values()):
            if vm.paused_until <= now:
                self._resume(vm)
        self.network.run_due()
        for vm in list(self.vms.values()):
            alive = self.vms.get(vm.vm.vm_id) is vm
            if alive and vm.paused_until <= self.clock.now():
                self._step_vm(vm, now)
        self.network.run_due()
        self._measure()

    def _resume(self, vm: ShardVm) -> None:
        if vm.paused_until == float("-inf"):
            return
        vm.paused_until = float("-inf")
        # Requests may be the first thing that runs after a pause.
        self._work(vm)
        self._measure_owners()
        self.network.resume(vm.vm.vm_id)

    def _step_vm(self, vm: ShardVm, now: float) -> None:
        vm.shards.tick()
        ticks = round((now - vm.started_at) / STEP_S)
        if ticks % 2 == 0:
            vm.membership.probe()
            vm.shards.step()
        if ticks % 4 == 0:
            vm.membership.refresh_list()
        if ticks % 8 == 0:
            vm.membership.pull()
        self._work(vm)

    def _work(self, vm: ShardVm) -> None:
        for shard in vm.shards.owned_shards():
            vm.part.work(shard)

    def _update_list(self, now: float) -> None:
        """Drop silent VMs from the platform's list and list resumed ones again."""
        drop_after_s = self.options.drop_after_s
        dropped = {v for v, at in self._dead_since.items() if now - at >= drop_after_s}
        listed = {vm.vm_id: vm for vm in self.vm_list.current()}
        wanted = {v: vm for v, vm in listed.items() if v not in dropped}
        for vm_id, vm in self.vms.items():
            paused = vm.paused_until > now
            silent = paused and now - vm.paused_since >= drop_after_s
            if silent or vm.unlisted_until > now:
                wanted.pop(vm_id, None)
            else:
                wanted[vm_id] = vm.vm
        if wanted != listed:
            self.vm_list.set(tuple(wanted.values()))

    def _measure(self) -> None:
        owners = self._measure_owners()
        now = self.clock.now()
        for shard in range(self.options.shards.shard_count):
            if shard in owners:
                self._unowned_since.pop(shard, None)
                continue
            self.unowned_shard_s += STEP_S
            since = self._unowned_since.setdefault(shard, now - STEP_S)
            self.worst_unowned_s = max(self.worst_unowned_s, now - since)

    def _measure_owners(self) -> dict[int, list[ShardVm]]:
        owners = self.owners()
        self.double_owned += sum(len(vms) > 1 for vms in owners.values())
        return owners
