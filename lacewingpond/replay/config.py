"""Replays operators' changes and faults of the store through the configuration."""

import random

import gevent
from msgspec import Struct

from lacewingpond.config.confirmation import ConfirmFailure
from lacewingpond.config.intents import (
    GrantKey,
    Intent,
    PutWorkspace,
    SetRate,
    WithdrawKey,
)
from lacewingpond.config.keys import key_digest
from lacewingpond.config.model import Key, Workspace
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.peers.memory import MemoryNetwork, MemoryNetworkOptions
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.config_naive import PollingVm
from lacewingpond.replay.config_traces import config_traces
from lacewingpond.replay.config_vm import ReplayVm
from lacewingpond.replay.trace import Trace, TraceEvent
from lacewingpond.standin.faulty_store import FaultyStore
from lacewingpond.standin.token_bucket import TokenBucket
from lacewingpond.store.base import VmRecord
from lacewingpond.store.counts import CallCounts
from lacewingpond.store.memory import MemoryStore, StoreSnapshot
from lacewingpond.util.clock import ManualClock

# Step of the manual clock.
STEP_S = 0.02
# Shortest time before the start of the trace, in which the fleet settles.
SETTLE_S = 2.0
WRITES_PER_S = 500.0
READS_PER_S = 2_000.0
LINK_DELAY_S = 0.001
WORKSPACE = "shop"


class OperatorChange(Struct):
    """A change confirmed by an operator, and what the replay observed of it.

    All times are in seconds since the start of the trace.

    Parameters
    ----------
    started_at : float
        When the operator sent the confirmation.
    plan_id : str
        Id of the plan.
    withdrawn : str
        Id of the key that the change withdraws, or empty.
    revision : int
        Revision that the change created; 0 if none is known.
    refused : bool
        Whether the operator was told that the change was not accepted.
    in_force_at : float or None
        When all VMs except those in a group that was cut off had the revision.
    accepted_until : float
        When a VM last accepted the withdrawn key.
    """

    started_at: float
    plan_id: str = ""
    withdrawn: str = ""
    revision: int = 0
    refused: bool = False
    in_force_at: float | None = None
    accepted_until: float = 0.0


class ConfigReplayer:
    """Replays the scenario ``config``."""

    scenario = "config"

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Replay `trace` and return its measures."""
        return _Run(trace, variant).play()

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return pairs of file name and trace, generated from `seed`."""
        return config_traces(seed)


class _Run:
    """Replay of one trace with one variant."""

    def __init__(self, trace: Trace, variant: Variant) -> None:
        params = trace.header.params
        seed = trace.header.seed
        self.trace = trace
        self.seconds = float(params["seconds"])
        self.requests_per_step = float(params["requests_per_s"]) * STEP_S
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.start = self.clock.now()
        self.memory_store = MemoryStore(self.clock)
        self.counts = CallCounts()
        self.faulty_store = FaultyStore(
            self.memory_store,
            self.clock,
            counts=self.counts,
            writes=TokenBucket(self.clock, WRITES_PER_S, WRITES_PER_S),
            reads=TokenBucket(self.clock, READS_PER_S, READS_PER_S),
        )
        options = MemoryNetworkOptions(
            loss=float(params["loss"]),
            min_delay_s=LINK_DELAY_S / 2,
            max_delay_s=LINK_DELAY_S,
        )
        self.network = MemoryNetwork(self.clock, random.Random(seed), options)
        vm_class = PollingVm if variant is Variant.NAIVE else ReplayVm
        records = _records(int(params["vms"]), int(params["domains"]))
        self.vms = {
            vm.vm_id: vm_class(
                vm, records, self.faulty_store, self.network, self.clock, seed
            )
            for vm in records
        }
        self.snapshot: StoreSnapshot | None = None
        self.changes: list[OperatorChange] = []
        self.cut_off: set[str] = set()
        self.isolated_steps = 0
        self.reverts = 0
        self.requests = 0
        self.wrongly_accepted = 0
        self.calls_by_step: list[int] = []
        self.recovery_started_s: float | None = None

    def play(self) -> Measures:
        self._set_up()
        events = list(reversed(self.trace.events))
        steps = round(self.seconds / STEP_S)
        for _ in range(steps):
            while events and events[-1].at <= self._elapsed_s():
                self._apply(events.pop())
            self._step()
        for vm in self.vms.values():
            vm.stop()
        return self._measures()

    def _elapsed_s(self) -> float:
        return self.clock.now() - self.start

    def _set_up(self) -> None:
        """Confirm one workspace with its keys and start all VMs with that revision."""
        first = next(iter(self.vms.values()))
        grants = (
            GrantKey(Key(f"key-{n}", WORKSPACE, key_digest(f"key-{n}")))
            for n in range(8)
        )
        intents = (PutWorkspace(Workspace(WORKSPACE, 100.0, 100.0)), *grants)
        first.confirm(first.plan(intents)).unwrap()
        for vm in self.vms.values():
            vm.start()
        for _ in range(round(SETTLE_S / STEP_S)):
            self.clock.advance(STEP_S)
            self.network.run_due()
        while any(vm.revision < first.revision for vm in self.vms.values()):
            self.clock.advance(STEP_S)
            self.network.run_due()
        self.start = self.clock.now()
        self.counts.by_kind.clear()

    def _step(self) -> None:
        before = {vm_id: vm.revision for vm_id, vm in self.vms.items()}
        self.clock.advance(STEP_S)
        self.network.run_due()
        gevent.sleep(0)
        self.calls_by_step.append(self.counts.total)
        for vm_id, vm in self.vms.items():
            self.reverts += vm.revision < before[vm_id]
            self.isolated_steps += vm_id not in self.cut_off and vm.is_isolated()
        for change in self.changes:
            self._observe(change)
        self._send_requests()

    def _observe(self, change: OperatorChange) -> None:
        if change.withdrawn and any(
            vm.accepts(change.withdrawn) for vm in self.vms.values()
        ):
            change.accepted_until = self._elapsed_s()
        if not change.revision:
            return
        connected = [vm for vm_id, vm in self.vms.items() if vm_id not in self.cut_off]
        done = all(vm.revision >= change.revision for vm in connected)
        if done and change.in_force_at is None:
            change.in_force_at = self._elapsed_s()

    def _send_requests(self) -> None:
        """Look up keys as requests do; the store calls show that none needs one."""
        vms = list(self.vms.values())
        withdrawn = [change for change in self.changes if change.withdrawn]
        whole = int(self.requests_per_step)
        count = whole + (self.rng.random() < self.requests_per_step - whole)
        for _ in range(count):
            vm = self.rng.choice(vms)
            self.requests += 1
            if not withdrawn:
                vm.accepts("key-7")
                continue
            change = self.rng.choice(withdrawn)
            # A withdrawal must reach all VMs within 3 s.
            must_refuse = (
                self._elapsed_s() - change.started_at >= 3.0 and change.revision
            )
            self.wrongly_accepted += bool(must_refuse and vm.accepts(change.withdrawn))

    def _apply(self, event: TraceEvent) -> None:
        match event.kind:
            case "set-rate" | "withdraw":
                gevent.spawn(self._confirm_change, event)
            case "cut-store":
                self.vms[event.subject].store.faults.outage = bool(event.fields["on"])
            case "cut-vms":
                self._cut_vms(event)
            case "block":
                self.network.block(event.subject, str(event.fields["to"]))
            case "outage":
                self.faulty_store.faults.outage = bool(event.fields["on"])
                if not event.fields["on"]:
                    self.recovery_started_s = self._elapsed_s()
            case "slow":
                self.faulty_store.faults.delay_s = float(event.fields["delay_s"])
            case "lose-answers":
                self.faulty_store.faults.lose_answers = int(event.fields["count"])
                self.faulty_store.faults.lose_prefix = str(event.fields["prefix"])
            case "keep-image":
                self.snapshot = self.memory_store.snapshot()
            case "older":
                self.memory_store.restore(self.snapshot)

    def _cut_vms(self, event: TraceEvent) -> None:
        """Disconnect a group of VMs from the store and from all other VMs."""
        group = frozenset(event.subject.split(","))
        rest = frozenset(self.vms) - group
        self.cut_off |= group
        for vm_id in self.vms:
            self.vms[vm_id].members.unreachable = rest if vm_id in group else group
        for vm_id in group:
            self.vms[vm_id].store.faults.outage = True
            for other in rest:
                self.network.block(vm_id, other)
                self.network.block(other, vm_id)

    def _confirm_change(self, event: TraceEvent) -> None:
        vm = self.vms[event.subject]
        change = OperatorChange(self._elapsed_s())
        plan_id = vm.plan((self._intent(event, change),))
        if plan_id is None:
            return
        change.plan_id = plan_id
        change.started_at = self._elapsed_s()
        self.changes.append(change)
        outcome = vm.confirm(plan_id)
        if outcome.is_ok():
            change.revision = outcome.ok_value.revision
        else:
            change.refused = outcome.err_value.refusal is not ConfirmFailure.UNKNOWN

    def _intent(self, event: TraceEvent, change: OperatorChange) -> Intent:
        if event.kind == "withdraw":
            change.withdrawn = str(event.fields["key"])
            return WithdrawKey(change.withdrawn)
        rate = float(event.fields["rate"])
        return SetRate("workspace", WORKSPACE, rate, rate)

    def _measures(self) -> Measures:
        accepted = [change for change in self.changes if change.revision]
        waits = [
            (change.in_force_at or self.seconds) - change.started_at
            for change in accepted
        ]
        withdrawn = [
            max(change.accepted_until - change.started_at, 0.0)
            for change in accepted
            if change.withdrawn
        ]
        measures = {
            "changes": float(len(accepted)),
            "in_force_s": round(max(waits, default=0.0), 2),
            "reverts": float(self.reverts),
            "untruthful": float(self._contradicted_outcomes()),
            "isolated_vm_s": round(self.isolated_steps * STEP_S, 1),
            "requests": float(self.requests),
            "withdrawn_accepted": float(self.wrongly_accepted),
            "store_calls_s": round(self.calls_by_step[-1] / self.seconds, 1),
            "store_calls_peak_s": float(self._peak_calls_per_s(0.0)),
        }
        if withdrawn:
            measures["withdrawn_s"] = round(max(withdrawn), 2)
        if self.recovery_started_s is not None:
            measures["recovery_calls_peak_s"] = float(
                self._peak_calls_per_s(self.recovery_started_s)
            )
        return measures

    def _contradicted_outcomes(self) -> int:
        """Return how many plans had an outcome that contradicts the stored head."""
        head = ConfigRepository(self.memory_store).read_head().unwrap().head
        wrong = 0
        for change in self.changes:
            in_force = head.confirmed(change.plan_id) is not None
            wrong += in_force and change.refused
            wrong += bool(change.revision) and not in_force
        return wrong

    def _peak_calls_per_s(self, since_s: float) -> int:
        """Return the largest number of store calls in any second after `since_s`."""
        window = round(1.0 / STEP_S)
        first = round(since_s / STEP_S)
        calls_by_step = [0, *self.calls_by_step]
        ends = range(min(first + window, len(calls_by_step) - 1), len(calls_by_step))
        return max(
            calls_by_step[end] - calls_by_step[max(end - window, 0)] for end in ends
        )


def _records(vms: int, domains: int) -> tuple[VmRecord, ...]:
    return tuple(
        VmRecord(f"vm-{n}", f"10.0.0.{n}:1", f"domain-{n % domains}")
        for n in range(vms)
    )
