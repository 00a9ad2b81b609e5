"""Simulation of membership and shards on one clock, with a faulty platform."""

import random

import gevent
from msgspec import Struct

from lacewingpond.membership.membership import Membership
from lacewingpond.membership.options import MembershipOptions
from lacewingpond.peers.memory import MemoryNetwork, MemoryNetworkOptions
from lacewingpond.replay.base import Variant
from lacewingpond.replay.interrupted_store import InterruptedStore
from lacewingpond.replay.lease_shards import LeaseShards
from lacewingpond.replay.pausable_clock import PausableClock
from lacewingpond.replay.shard_counter import CounterComponent, ExpectedCounters
from lacewingpond.shards.handover import HandoverReport
from lacewingpond.shards.manager import ShardManager
from lacewingpond.shards.options import ShardOptions
from lacewingpond.shards.process import ProcessId
from lacewingpond.standin.faults import PlatformFaults
from lacewingpond.standin.faulty_store import FaultyStore, FaultyVmList
from lacewingpond.store.base import VmRecord
from lacewingpond.store.memory import MemoryStore, MemoryVmList
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import ManualClock

# Step of the manual clock.
STEP_S = 0.5


class ShardSimulationOptions(Struct, frozen=True):
    """Options of the fleet, the platform and the network.

    Parameters
    ----------
    shards : ShardOptions
        Options of the shards.
    domains : int
        Number of failure domains that the VMs are spread over.
    drop_after_s : float
        Time after a crash or in a pause at which the platform drops a VM from its list.
    list_lag_s : float
        Time by which reads of the list lag behind.
    message_loss : float
        Share of the messages that is lost.
    message_delay_s : float
        Longest delay of a message.
    """

    shards: ShardOptions = ShardOptions()
    domains: int = 3
    drop_after_s: float = 5.0
    list_lag_s: float = 2.0
    message_loss: float = 0.0
    message_delay_s: float = 0.0


class ShardVm:
    """One process of the fleet.

    Attributes
    ----------
    vm : VmRecord
        The VM that the process runs on.
    membership : Membership
        Its view of the fleet.
    shards : ShardManager or LeaseShards
        Its shards.
    component : CounterComponent
        State that it keeps for its shards.
    faults : PlatformFaults
        Faults of the store and the VM list for this process only.
    store : InterruptedStore
        Its access to the store.
    log : RecordingDecisionLog
        Its decisions.
    paused_since, paused_until : float
        Begin and end of its last pause, in monotonic seconds; `paused_until` is minus
        infinity while the process runs.
    unlisted_until : float
        When the platform lists the VM again, in monotonic seconds.
    stopping : gevent.Greenlet or None
        The planned stop in progress.
    started_at : float
        When the process started, in monotonic seconds.
    """

    __slots__ = (
        "vm",
        "membership",
        "shards",
        "component",
        "faults",
        "store",
        "log",
        "paused_since",
        "paused_until",
        "unlisted_until",
        "stopping",
        "started_at",
    )


class ShardSimulation:
    """Runs all processes of a fleet step by step.

    Parameters
    ----------
    options : ShardSimulationOptions
        Options of the fleet.
    variant : Variant
        `Variant.NAIVE` uses `LeaseShards` in place of `ShardManager`.
    seed : int
        Seed of all random choices.

    Attributes
    ----------
    vms : dict of str to ShardVm
        The processes that have not ended, paused ones included, by VM id.
    truth : ExpectedCounters
        Expected state of the shards.
    reports : list of HandoverReport
        Reports of the planned stops.
    unowned_shard_s : float
        Sum over all shards of the time without an owner, in seconds.
    worst_unowned_s : float
        Longest time without an owner of any shard, in seconds.
    double_owned : int
        Number of times that a shard was seen with several owners.
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
        "ended_store_calls",
        "ended_store_writes",
        "ended_list_reads",
        "_variant",
        "_store_unavailable",
        "_rng",
        "_incarnations",
        "_crashed_at",
        "_unowned_since",
        "_calls_at_reset",
        "_writes_at_reset",
        "_list_reads_at_reset",
        "_pause_in_progress",
    )

    def __init__(
        self, options: ShardSimulationOptions, variant: Variant, seed: int
    ) -> None:
        self.options = options
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.vm_list = MemoryVmList(self.clock, lag_s=options.list_lag_s)
        self._rng = random.Random(seed)
        faults = MemoryNetworkOptions(
            loss=options.message_loss, max_delay_s=options.message_delay_s
        )
        rng = random.Random(self._rng.random())
        self.network = MemoryNetwork(self.clock, rng, faults)
        self.vms: dict[str, ShardVm] = {}
        self.truth = ExpectedCounters()
        self.reports: list[HandoverReport] = []
        self.unowned_shard_s = 0.0
        self.worst_unowned_s = 0.0
        self.double_owned = 0
        self.ended_store_calls = 0
        self.ended_store_writes = 0
        self.ended_list_reads = 0
        self._variant = variant
        self._store_unavailable = False
        self._incarnations = 0
        self._crashed_at: dict[str, float] = {}
        self._unowned_since: dict[int, float] = {}
        self._calls_at_reset = 0
        self._writes_at_reset = 0
        self._list_reads_at_reset = 0
        self._pause_in_progress = False

    def start(self, vm_id: str) -> None:
        """Start a process, which replaces a crashed one with the same VM id."""
        record = self._record(vm_id)
        self._crashed_at.pop(vm_id, None)
        listed = [vm for vm in self.vm_list.current() if vm.vm_id != vm_id]
        self.vm_list.set((*listed, record))
        vm = ShardVm()
        vm.vm = record
        vm.faults = PlatformFaults(outage=self._store_unavailable)
        vm.log = RecordingDecisionLog()
        vm.paused_since = float("-inf")
        vm.paused_until = float("-inf")
        vm.unlisted_until = float("-inf")
        vm.stopping = None
        vm.started_at = self.clock.now()
        self._create_process(vm)
        self.vms[vm_id] = vm

    def crash(self, vm_id: str) -> None:
        """End a process immediately, without a handover."""
        vm = self.vms.pop(vm_id)
        if vm.stopping is not None:
            vm.stopping.kill()
        self.network.crash(vm_id)
        self._crashed_at[vm_id] = self.clock.now()
        self.ended_store_calls += vm.shards.store_calls
        self.ended_store_writes += vm.shards.store_writes
        self.ended_list_reads += vm.membership.list_reads

    def pause(self, vm_id: str, seconds: float) -> None:
        """Pause a process for `seconds`."""
        vm = self.vms[vm_id]
        vm.paused_since = self.clock.now()
        vm.paused_until = self.clock.now() + seconds
        self.network.pause(vm_id)

    def pause_in_call(
        self, vm_id: str, seconds: float, before: bool, kind: str = "put_if"
    ) -> None:
        """Pause a process just before or after its next store call of a kind.

        Parameters
        ----------
        vm_id : str
            The process.
        seconds : float
            Length of the pause.
        before : bool
            Whether to pause before the call rather than after it.
        kind : str
            ``get`` or ``put_if``.
        """
        vm = self.vms[vm_id]
        if self._variant is Variant.NAIVE:
            self.pause(vm_id, seconds)
            return

        def pause_once() -> None:
            # A pause within another one would only extend the first one.
            is_alive = self.vms.get(vm_id) is vm and vm.stopping is None
            if self._pause_in_progress or not is_alive:
                return
            self._pause_in_progress = True
            self.pause(vm_id, seconds + STEP_S / 2)
            self.run(seconds)
            self._pause_in_progress = False
            if self.vms.get(vm_id) is vm:
                self._resume(vm)

        hooks = vm.store.before if before else vm.store.after
        hooks[kind] = pause_once

    def stop(self, vm_id: str, grace_s: float = 20.0) -> None:
        """Start a planned stop: hand the shards over within `grace_s`, then end."""
        vm = self.vms[vm_id]
        if vm.stopping is None:
            vm.membership.announce_leaving()
            vm.stopping = gevent.spawn(self._stop, vm, grace_s)

    def unlist(self, vm_id: str, seconds: float) -> None:
        """Drop a running process from the platform's list for `seconds`."""
        self.vms[vm_id].unlisted_until = self.clock.now() + seconds

    def set_outage(self, unavailable: bool, vm_ids: list[str] | None = None) -> None:
        """Start or end a store outage for some processes, by default for all.

        An outage for all also holds for processes that start later.
        """
        if vm_ids is None:
            self._store_unavailable = unavailable
        for vm_id in vm_ids or list(self.vms):
            self.vms[vm_id].faults.outage = unavailable

    def run(self, seconds: float) -> None:
        """Advance the simulation by `seconds`; measure after each step."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._step()

    def running(self) -> list[ShardVm]:
        """Return the processes that are not paused."""
        now = self.clock.now()
        return [vm for vm in self.vms.values() if vm.paused_until <= now]

    def owners(self) -> dict[int, list[ShardVm]]:
        """Return the running processes that may act as owners, by shard."""
        owners: dict[int, list[ShardVm]] = {}
        for vm in self.running():
            for shard in vm.shards.active_shards():
                owners.setdefault(shard, []).append(vm)
        return owners

    def reset_measures(self) -> None:
        """Reset the times without owners and the counts of store calls.

        Called when the fleet has settled.
        """
        self.unowned_shard_s = 0.0
        self.worst_unowned_s = 0.0
        self._unowned_since.clear()
        self._calls_at_reset += self.store_calls()
        self._writes_at_reset += self.store_writes()
        self._list_reads_at_reset += self.list_reads()

    def store_calls(self) -> int:
        """Return the store calls for shards since the reset, list reads included."""
        calls = sum(vm.shards.store_calls for vm in self.vms.values())
        return self.ended_store_calls + calls - self._calls_at_reset

    def store_writes(self) -> int:
        """Return the store writes for shards since the reset."""
        writes = sum(vm.shards.store_writes for vm in self.vms.values())
        return self.ended_store_writes + writes - self._writes_at_reset

    def list_reads(self) -> int:
        """Return the list reads by memberships since the reset."""
        reads = sum(vm.membership.list_reads for vm in self.vms.values())
        return self.ended_list_reads + reads - self._list_reads_at_reset

    def _record(self, vm_id: str) -> VmRecord:
        number = int("".join(c for c in vm_id if c.isdigit()) or "0")
        domain = f"fd{number % self.options.domains}"
        return VmRecord(vm_id, f"10.0.0.1:{number}", domain, "r1")

    def _create_process(self, vm: ShardVm) -> None:
        vm_id = vm.vm.vm_id
        self._incarnations += 1
        process = ProcessId(vm_id, str(self._incarnations))
        rng = random.Random(self._rng.random())
        clock = PausableClock(self.clock, vm)
        channel = self.network.channel(vm_id)
        vm_list = FaultyVmList(self.vm_list, vm.faults)
        metrics = CountingMetrics()
        vm.store = InterruptedStore(FaultyStore(self.store, self.clock, vm.faults))
        vm.component = CounterComponent(self.truth)
        options = MembershipOptions()
        vm.membership = Membership.from_options(
            options, vm.vm, vm_list, channel, clock, rng, vm.log, metrics
        )
        if self._variant is Variant.NAIVE:
            count = self.options.shards.shard_count
            vm.shards = LeaseShards(
                count, process, vm.store._store, channel, self.clock, vm.component
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
        vm.shards.add_component(vm.component)

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
            is_alive = self.vms.get(vm.vm.vm_id) is vm
            if is_alive and vm.paused_until <= self.clock.now():
                self._step_process(vm, now)
        self.network.run_due()
        self._measure()

    def _resume(self, vm: ShardVm) -> None:
        if vm.paused_until == float("-inf"):
            return
        vm.paused_until = float("-inf")
        # After a pause, requests may run before anything else does.
        self._work(vm)
        self._measure_owners()
        self.network.resume(vm.vm.vm_id)

    def _step_process(self, vm: ShardVm, now: float) -> None:
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
        for shard in vm.shards.active_shards():
            vm.component.work(shard)

    def _update_list(self, now: float) -> None:
        """Drop crashed and paused VMs from the list and add resumed ones again."""
        drop_after_s = self.options.drop_after_s
        dropped_ids = {
            v for v, at in self._crashed_at.items() if now - at >= drop_after_s
        }
        listed = {vm.vm_id: vm for vm in self.vm_list.current()}
        wanted = {v: vm for v, vm in listed.items() if v not in dropped_ids}
        for vm_id, vm in self.vms.items():
            is_paused = vm.paused_until > now
            is_dropped = is_paused and now - vm.paused_since >= drop_after_s
            if is_dropped or vm.unlisted_until > now:
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
