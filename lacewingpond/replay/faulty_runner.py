"""Target that refuses requests and loses responses, for the scenario ``once``."""

import random
from collections.abc import Callable

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.answer import Answer
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.runner import RunResult
from lacewingpond.replay.vm_clock import VmClock

REFUSED_SHARE = 0.05
"""Share of the requests that are refused, so that they provably do not run."""
LOST_SHARE = 0.1
"""Share of the requests that run and whose response is lost."""
MAX_SLOT_WAIT_S = 0.05
MAX_RUN_S = 0.6


class FaultyRunner:
    """Runs requests of one VM and counts the runs of each key.

    Parameters
    ----------
    clock : VmClock
        Clock of the VM.
    rng : random.Random
        Source of the random durations and outcomes.
    runs : dict of str to int
        Number of runs by key, shared by all VMs.
    """

    __slots__ = ("_clock", "_rng", "_runs")

    def __init__(
        self, clock: VmClock, rng: random.Random, runs: dict[str, int]
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._runs = runs

    def run(self, request: KeyedRequest, may_send: Callable[[], bool]) -> RunResult:
        """Wait for a slot, send the request if `may_send` allows, return the result."""
        draw = self._rng.random()
        run_s = self._rng.uniform(0.0, MAX_RUN_S)
        self._clock.sleep(self._rng.uniform(0.0, MAX_SLOT_WAIT_S))
        if draw < REFUSED_SHARE or not may_send():
            return RunResult(RunState.NOT_RUN)
        self._runs[request.key] = self._runs.get(request.key, 0) + 1
        self._clock.sleep(run_s)
        if draw < REFUSED_SHARE + LOST_SHARE:
            return RunResult(RunState.UNKNOWN)
        return RunResult(RunState.RAN, Answer(201, (), request.key.encode()))
