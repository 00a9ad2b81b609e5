"""Simulated fleet that distributes revisions, to measure the costs per VM."""

import random
import time

from msgspec import Struct

from lacewingpond.config.changes import Changes
from lacewingpond.config.distributor import ConfigDistributor
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.model import Config, Workspace
from lacewingpond.config.options import ConfigOptions
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.config.state import ConfigState
from lacewingpond.peers.memory import (
    MemoryNetwork,
    MemoryNetworkOptions,
    MemoryPeerChannel,
)
from lacewingpond.standin.faulty_store import FaultyStore
from lacewingpond.store.base import VmRecord
from lacewingpond.store.counts import CallCounts
from lacewingpond.store.memory import MemoryStore
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import ManualClock

FAILURE_DOMAINS = 22
STEP_S = 0.02
MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.1
IDLE_S = 20.0
CHANGES = 10
CHANGE_INTERVAL_S = 2.0
OUTAGE_S = 10.0
WORKSPACE_COUNT = 100


class FleetCosts(Struct, frozen=True):
    """Costs of distributing the configuration in a fleet.

    Parameters
    ----------
    idle_bytes_s : float
        Bytes per second that one VM sends and receives without changes.
    idle_cpu_share : float
        Share of a core that one VM uses without changes.
    change_bytes : float
        Bytes that one VM sends and receives for one change, beyond idle traffic.
    spread_s : float
        Longest time from writing a change to the store until all VMs applied it.
    store_calls_s : float
        Store calls per second of the whole fleet without changes.
    change_calls : float
        Store calls of the whole fleet for one change, beyond idle calls.
    recovery_calls_s : float
        Maximum number of store calls within 1 s after an outage.
    """

    idle_bytes_s: float
    idle_cpu_share: float
    change_bytes: float
    spread_s: float
    store_calls_s: float
    change_calls: float
    recovery_calls_s: float


class FixedView:
    """Membership view in which all VMs are live and reachable."""

    __slots__ = ("_others",)

    def __init__(self, others: tuple[VmRecord, ...]) -> None:
        self._others = others

    def live(self) -> tuple[VmRecord, ...]:
        """Return all other VMs."""
        return self._others

    def is_reachable(self, vm_id: str) -> bool:
        """Return True for every VM."""
        return True


class ConfigFleet:
    """Simulation of many VMs on a clock that advances step by step.

    Parameters
    ----------
    vms : int
        Number of VMs, in `FAILURE_DOMAINS` failure domains.
    seed : int
        Seed of message delays and jitter.
    """

    def __init__(self, vms: int, seed: int) -> None:
        rng = random.Random(seed)
        self._rng = rng
        self._clock = ManualClock()
        self._counts = CallCounts()
        memory = MemoryStore(self._clock)
        self._store = FaultyStore(memory, self._clock, counts=self._counts)
        self._repository = ConfigRepository(self._store)
        delays = MemoryNetworkOptions(min_delay_s=MIN_DELAY_S, max_delay_s=MAX_DELAY_S)
        self._network = MemoryNetwork(self._clock, rng, delays)
        self._vms = tuple(
            VmRecord(f"vm-{n:04}", f"10.0.0.1:{n}", f"domain-{n % FAILURE_DOMAINS}")
            for n in range(vms)
        )
        self._state = self._initial_state()
        self._holders: list[ConfigHolder] = []
        self._channels: list[MemoryPeerChannel] = []
        self._distributors: list[ConfigDistributor] = []
        for record in self._vms:
            self._add_vm(record)

    def measure(self) -> FleetCosts:
        """Return the costs without changes, of changes and after a store outage."""
        for distributor in self._distributors:
            distributor.start()
        self._advance(5.0)
        idle = self._measure_idle()
        changed = self._measure_changes(idle)
        recovery = self._measure_recovery()
        for distributor in self._distributors:
            distributor.stop()
        return FleetCosts(*idle, *changed, recovery)

    def _initial_state(self) -> ConfigState:
        workspaces = tuple(
            Workspace(f"w-{number}", 10.0, 10.0) for number in range(WORKSPACE_COUNT)
        )
        state = ConfigState.from_config(Config(revision=1, workspaces=workspaces))
        self._repository.write_chunks(state, state.head.chunks).unwrap()
        self._repository.write_head(state.head, 0).unwrap()
        return state

    def _add_vm(self, record: VmRecord) -> None:
        holder = ConfigHolder(self._state)
        channel = self._network.channel(record.vm_id)
        others = tuple(vm for vm in self._vms if vm is not record)
        distributor = ConfigDistributor(
            record,
            holder,
            self._repository,
            channel,
            FixedView(others),
            lambda: len(others),
            ConfigOptions(),
            self._clock,
            random.Random(self._rng.random()),
            NullDecisionLog(),
            CountingMetrics(),
        )
        self._holders.append(holder)
        self._channels.append(channel)
        self._distributors.append(distributor)

    def _advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self._clock.advance(STEP_S)
            self._network.run_due()

    def _bytes_per_vm(self) -> float:
        """Return the mean bytes sent and received per VM.

        Every byte sent is also received, so this is twice the bytes sent.
        """
        sent = sum(
            counts.sent_bytes
            for channel in self._channels
            for counts in channel.message_counts.by_kind.values()
        )
        return 2.0 * sent / len(self._channels)

    def _measure_idle(self) -> tuple[float, float]:
        started = time.process_time()
        before = self._bytes_per_vm()
        calls = self._counts.total
        self._advance(IDLE_S)
        cpu_s = time.process_time() - started
        self._idle_calls_per_s = (self._counts.total - calls) / IDLE_S
        idle_bytes = self._bytes_per_vm() - before
        return idle_bytes / IDLE_S, cpu_s / IDLE_S / len(self._channels)

    def _measure_changes(
        self, idle: tuple[float, float]
    ) -> tuple[float, float, float, float]:
        before = self._bytes_per_vm()
        calls = self._counts.total
        slowest_s = max(self._change(number) for number in range(CHANGES))
        seconds = CHANGES * CHANGE_INTERVAL_S
        change_bytes = self._bytes_per_vm() - before - idle[0] * seconds
        change_calls = self._counts.total - calls - self._idle_calls_per_s * seconds
        return (
            max(change_bytes, 0.0) / CHANGES,
            slowest_s,
            self._idle_calls_per_s,
            max(change_calls, 0.0) / CHANGES,
        )

    def _change(self, number: int) -> float:
        """Write one change to the store; return the seconds until all VMs apply it.

        The result is infinite if that takes longer than `CHANGE_INTERVAL_S`.
        """
        changes = Changes(workspaces=(Workspace(f"w-{number}", 20.0, 20.0),))
        stored = self._repository.read_head().unwrap()
        state = self._state.with_changes(changes, f"plan-{number}")
        refs = self._state.missing_chunks(state.head)
        self._repository.write_chunks(state, refs).unwrap()
        self._repository.write_head(state.head, stored.store_revision).unwrap()
        self._state = state
        started = self._clock.now()
        applied_at = None
        for _ in range(round(CHANGE_INTERVAL_S / STEP_S)):
            self._advance(STEP_S)
            if applied_at is None and self._is_applied_by_all():
                applied_at = self._clock.now()
        return (applied_at or float("inf")) - started

    def _is_applied_by_all(self) -> bool:
        revision = self._state.revision
        return all(holder.revision >= revision for holder in self._holders)

    def _measure_recovery(self) -> float:
        self._store.faults.outage = True
        self._advance(OUTAGE_S)
        self._store.faults.outage = False
        totals = [self._counts.total]
        for _ in range(round(5.0 / STEP_S)):
            self._advance(STEP_S)
            totals.append(self._counts.total)
        window = round(1.0 / STEP_S)
        return float(
            max(
                after - before
                for before, after in zip(totals, totals[window:], strict=False)
            )
        )
