"""Replays repeated requests with idempotency keys through VMs that fail."""

import random

import gevent

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.options import IdempotencyOptions
from lacewingpond.idempotency.service import IdempotencyService
from lacewingpond.peers.memory import MemoryNetwork, MemoryNetworkOptions
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.fake_shards import FakeShardTable
from lacewingpond.replay.faulty_runner import FaultyRunner
from lacewingpond.replay.local_claims import LocalClaims
from lacewingpond.replay.once_traces import once_traces
from lacewingpond.replay.trace import Trace, TraceEvent
from lacewingpond.replay.vm_clock import VmClock
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.util.clock import ManualClock

STEP_S = 0.01
"""Step of the manual clock."""
COMPLETION_S = 8.0
"""Time after the last event in which requests complete."""
SHARD_COUNT = 32
REQUEST_TIMEOUT_S = 3.0


class OnceReplayer:
    """Replays the scenario ``once``."""

    __slots__ = ()

    scenario = "once"

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Replay `trace` and return its measures."""
        return _Run(trace, variant).measures()

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return pairs of file name and trace, generated from `seed`."""
        return once_traces(seed)


class _Run:
    """Replay of one trace with one variant; each request is a greenlet."""

    def __init__(self, trace: Trace, variant: Variant) -> None:
        params = trace.header.params
        self.variant = variant
        self.rng = random.Random(trace.header.seed)
        self.clock = ManualClock()
        self.vms = tuple(f"vm{number}" for number in range(int(params["vms"])))
        faults = MemoryNetworkOptions(
            loss=float(params.get("loss", 0.0)),
            min_delay_s=0.0005,
            max_delay_s=0.003,
            waits=True,
        )
        self.network = MemoryNetwork(self.clock, self.rng, faults)
        self.table = FakeShardTable(SHARD_COUNT, self.vms, self.clock)
        self.runs: dict[str, int] = {}
        self.submitted: set[str] = set()
        self.keys_with_response: set[str] = set()
        self.replies = 0
        self.unknown_replies = 0
        self.wrong_not_run = 0
        self.crashed: set[str] = set()
        self.clocks: dict[str, VmClock] = {}
        self.services: dict[str, IdempotencyService | LocalClaims] = {}
        for vm in self.vms:
            self._start_vm(vm)
        self._play(trace)

    def measures(self) -> Measures:
        """Return the measures of the replay."""
        return {
            "runs_above_one": float(sum(n - 1 for n in self.runs.values() if n > 1)),
            "not_run_said_of_run": float(self.wrong_not_run),
            "keys": float(len(self.submitted)),
            "keys_answered": len(self.keys_with_response) / len(self.submitted),
            "replies_unknown": self.unknown_replies / max(self.replies, 1),
        }

    def _start_vm(self, vm: str) -> None:
        clock = self.clocks[vm] = VmClock(self.clock)
        runner = FaultyRunner(clock, random.Random(self.rng.random()), self.runs)
        if self.variant is Variant.NAIVE:
            self.services[vm] = LocalClaims(runner)
            return
        service = self.services[vm] = IdempotencyService.from_options(
            IdempotencyOptions(),
            ComponentContext.unlogged(
                vm,
                clock,
                random.Random(self.rng.random()),
                self.network.channel(vm),
                self.table.view(vm),
            ),
            runner,
        )
        for shard in self.table.shards_of(vm):
            service.acquire(self.table.owners[shard], None)

    def _play(self, trace: Trace) -> None:
        start = self.clock.now()
        events = list(trace.events)
        end = events[-1].at + COMPLETION_S
        while (now := self.clock.now() - start) < end:
            while events and events[0].at <= now:
                self._apply(events.pop(0))
            self.clock.advance(STEP_S)
            self.network.run_due()

    def _apply(self, event: TraceEvent) -> None:
        if event.kind == "request":
            gevent.spawn(self._request, event)
        elif event.kind == "crash":
            self._crash(event.subject)
        elif event.kind == "take_over":
            self._reassign_shards(event.subject, clean=False)
        elif event.kind == "hand_over":
            self._reassign_shards(event.subject, clean=True)
        elif event.kind == "pause":
            self.clocks[event.subject].pause()
            self.network.pause(event.subject)
        elif event.kind == "resume":
            self.clocks[event.subject].resume()
            self.network.resume(event.subject)
        elif event.kind == "block":
            self.network.block(event.subject, str(event.fields["receiver"]))
        elif event.kind == "unblock":
            self.network.unblock(event.subject, str(event.fields["receiver"]))

    def _crash(self, vm: str) -> None:
        self.crashed.add(vm)
        self.clocks[vm].pause()
        self.network.crash(vm)

    def _reassign_shards(self, old_owner: str, clean: bool) -> None:
        if self.variant is Variant.NAIVE:
            return
        candidates = [vm for vm in self.vms if vm != old_owner and self._is_running(vm)]
        for shard in self.table.shards_of(old_owner):
            new_owner = self.rng.choice(candidates)
            state = self.services[old_owner].release(shard) if clean else None
            ownership = self.table.assign(shard, new_owner, clean)
            self.services[new_owner].acquire(ownership, state)

    def _is_running(self, vm: str) -> bool:
        return vm not in self.crashed and self.clocks[vm].is_running

    def _request(self, event: TraceEvent) -> None:
        vm = str(event.fields["vm"])
        if not self._is_running(vm):
            return
        key = event.subject
        self.submitted.add(key)
        request = KeyedRequest(
            "acme", key, "book", "POST", "/book", timeout_s=REQUEST_TIMEOUT_S
        )
        reply = self.services[vm].submit(request)
        if not self._is_running(vm):
            return
        self.replies += 1
        self.unknown_replies += reply.run is RunState.UNKNOWN
        if reply.run is RunState.NOT_RUN and self.runs.get(key):
            self.wrong_not_run += 1
        if reply.answer is not None:
            self.keys_with_response.add(key)
