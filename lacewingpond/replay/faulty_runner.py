"""A target that loses answers, sheds and refuses, for the scenario ``once``."""

import random
from collections.abc import Callable

from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.answer import Answer
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.runner import RunResult
from lacewingpond.replay.vm_clock import VmClock

REFUSED_SHARE = 0.05
"""Share of the requests that the target provably does not run."""
LOST_SHARE = 0.1
"""Share of the requests that run and whose answer is lost."""
MAX_WAIT_S = 0.05
MAX_RUN_S = 0.6


class FaultyRunner:
    """Runs requests of one VM and counts the runs of each key.

    Parameters
    ----------
    clock : VmClock
        Time of the VM.
    rng : random.Random
        Draws durations and outcomes.
    runs : dict
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
        """Wait for a slot, send the request, and return what came of it."""
        draw = self._rng.random()
        run_s = self._rng.uniform(0.0, MAX_RUN_S)
        self._clock.sleep(self._rng.uniform(0.0, MAX_WAIT_S))
        if draw < REFUSED_SHARE or not may_send():
            return RunResult(RunState.NOT_RUN)
        self._runs[request.key] = self._runs.get(request.key, 0) + 1
        self._clock.sleep(run_s)
        if draw < REFUSED_SHARE + LOST_SHARE:
            return RunResult(RunState.UNKNOWN)
        return RunResult(RunState.RAN, Answer(201, (), request.key.encode()))
