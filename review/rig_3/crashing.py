"""A caller whose request crashes each instance that begins to run it."""

import asyncio
import random
from dataclasses import dataclass

from rig_3.client import new_id, send
from rig_3.daemon import Daemon
from rig_3.fleet import KEY, RUN_PREFIX, SERVICE, ZONES, Fleet, config
from rig_3.instance import CRASH_PATH, Instance
from rig_3.record import Record
from rig_3.store import Store
from rig_3.traffic import Traffic

STABLE_WINDOW_S = 3.0  # `bounds.stable-window`
MAX_RETRIES = 3  # RULES.md, BUDGET
CRASHING = f"{RUN_PREFIX}{CRASH_PATH}"
DEADLINE_S = 8.0
INSTANCES = 9


@dataclass(slots=True)
class Attempt:
    """One attempt of the caller whose request crashes instances."""

    request_id: str
    daemon: Daemon
    sent_at: float
    in_touch: bool


class CrashingCase:
    """A deployment with ordinary consumers and one caller of a crashing request.

    Parameters
    ----------
    record : Record
        The record of the case.
    daemons : int
        Number of daemons.
    body : bytes
        Body of the crashing request.
    crashes : bool
        Whether it crashes instances at all.
    crash_after_s : float
        How long an instance runs it before it crashes, in seconds.
    seed : int
        Seed of the random choices.
    """

    def __init__(
        self,
        record: Record,
        daemons: int,
        body: bytes,
        crashes: bool,
        crash_after_s: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.record = record
        self._daemons, self._body, self._crashes = daemons, body, crashes
        self._crash_after_s = crash_after_s
        self._rng = random.Random(seed)
        self.store = Store()
        self.attempts: dict[str, Attempt] = {}
        self.instances: list[Instance] = []
        self.traffic = Traffic(record)
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> Fleet:
        """Start the stand-ins and the daemons, and return these."""
        await self.store.start()
        self.instances = [
            Instance(
                f"i-{i:08x}",
                SERVICE,
                ZONES[i % 3],
                self.store,
                self.record,
                self._rng,
                work_s=0.35,
                crashes=lambda request: self._crashes and CRASHING in request.start,
                crash_after_s=self._crash_after_s,
            )
            for i in range(1, INSTANCES + 1)
        ]
        await asyncio.gather(*(each.start() for each in self.instances))
        return Fleet(self._daemons, self.store, self.record, self._rng)

    async def publish(self) -> None:
        """Write the configuration, as the operator does before traffic starts."""
        await self.store.put("op/config", config())

    async def send_crashing(self, fleet: Fleet, every_s: float, times: int = 1) -> None:
        """Send the crashing request, `times` at once, at a steady rate."""
        while True:
            for _ in range(times):
                self._start_crashing(fleet)
            await asyncio.sleep(every_s)

    def _start_crashing(self, fleet: Fleet) -> None:
        daemon, request_id = fleet.pick(), new_id()
        now = self.record.now()
        in_touch = daemon.is_in_touch(now, STABLE_WINDOW_S)
        self.attempts[request_id] = Attempt(request_id, daemon, now, in_touch)
        self._spawn(
            send(
                self.record,
                daemon.front,
                "POST",
                CRASHING,
                KEY,
                DEADLINE_S,
                self._body,
                request_id,
            )
        )

    def _spawn(self, work: object) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def crashing_runs(self) -> list[tuple[float, str]]:
        """Return time and id of all runs of the crashing request, in order."""
        runs = [
            (at, request_id)
            for instance in self.instances
            for at, request_id, path in instance.runs
            if path == CRASHING
        ]
        return sorted(runs)

    def verdict(self) -> int:
        """Record what was seen; return 1 if the rule was broken, else 0."""
        runs = self.crashing_runs()
        lost = [
            request_id
            for request_id, answer in self.traffic.answers.items()
            if answer is None or answer.status >= 500
        ]
        ran = {i for each in self.instances for _, i, _ in each.runs}
        add = self.record.add
        add(f"attempts of the crashing request: {len(self.attempts)}")
        add(f"of these begun by instances: {len(runs)}")
        crashes = sum(each.crash_count for each in self.instances)
        add(f"crashes of instances: {crashes}")
        add(
            f"ordinary requests: {len(self.traffic.answers)}, failed: {len(lost)}, "
            f"of these begun by an instance: {len(ran.intersection(lost))}"
        )
        if crashes < MAX_RETRIES:
            add("the request did not crash three instances: the rule held")
            return 0
        third = runs[MAX_RETRIES - 1][0]
        counted = [
            (at, self.attempts[request_id])
            for at, request_id in runs
            if self.attempts[request_id].sent_at > third + STABLE_WINDOW_S
            and self.attempts[request_id].in_touch
        ]
        add(f"the third crash was at {third:.3f}")
        for at, attempt in counted:
            add(f"retry {attempt.request_id} by {attempt.daemon.name} ran at {at:.3f}")
        add(
            f"retries by machines in touch later than {STABLE_WINDOW_S:g} s after it: "
            f"{len(counted)}, allowed {MAX_RETRIES}"
        )
        return int(len(counted) > MAX_RETRIES)
