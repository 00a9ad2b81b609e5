"""An instance that has left goes on to get requests, once a VM was restarted."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

from rig_2.client import send
from rig_2.daemon import Daemon
from rig_2.record import Record
from rig_2.site import HOST, CantRunError, Site, rule

DAEMONS = 3
INSTANCES = 22
ROUNDS = 14
DRAIN_S = 2.0
STABLE_S = 3.0
CALM_S = 3.1  # above `stable-window`, so that all machines are in touch
RESTART_S = 0.2  # the platform starts a killed process after a short delay
SERVES_S = 3.5  # `drain` and a little longer: "at times many seconds"
WORK_S = 0.4
DEADLINE_MS = 8000
WATCHER_POLLS = 50  # in 5 s; another VM takes over within 2 s
PAUSE_S = 0.04  # of the consumers of one VM between two requests
KEY = "ctnfzs989anu6wsjnban"
SERVICE = "enrolment"
TROUBLE = os.environ.get("TROUBLE") != "0"


class Case:
    """The rounds, in each of which one instance leaves."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.site = Site(record)
        self.taken_by: dict[str, Daemon] = {}
        self.killed_at: dict[str, float] = {}
        self.broken = 0
        self.answers: dict[str, int] = {}
        self._number = 0

    async def play(self) -> bool:
        """Play all rounds; return whether the rule was kept."""
        site = self.site
        await site.start_store()
        for number in range(INSTANCES):
            await site.add_instance(f"i-{number:02d}", SERVICE, number, WORK_S)
        rules = [rule("r-enrol", "/enrol/", "non_idempotent", SERVICE, "4000ms")]
        tenants = [{"name": "sese880", "api-keys": [KEY], "priority": 1}]
        await site.configure(rules, tenants, [SERVICE])
        for number in range(1, DAEMONS + 1):
            site.add_daemon(number)
        await site.start_daemons()
        clients = [asyncio.create_task(self._consume(d)) for d in site.daemons]
        try:
            for number in range(ROUNDS):
                if not site.has_time(CALM_S + SERVES_S + RESTART_S + 1.0):
                    self.record.say(f"no time for round {number} and later ones")
                    break
                await asyncio.sleep(CALM_S)
                await self._round(number)
        finally:
            for client in clients:
                client.cancel()
        return not self.broken

    async def _round(self, number: int) -> None:
        leaving = self.site.instances[number]
        if TROUBLE:
            victim = await self._watcher()
            self.record.line(f"SIGKILL to {victim.name}")
            victim.kill()
            self.killed_at[victim.name] = time.monotonic()
            restart = asyncio.create_task(self._restart(victim))
        await asyncio.sleep(random.uniform(0.05, 0.2))
        await leaving.leave(self.site.store)
        left_at = time.monotonic()
        self.record.line(f"{leaving.name} has left: the store confirmed it")
        await asyncio.sleep(SERVES_S)
        at_work = len(leaving.running)
        leaving.stop()
        late = [
            (at - left_at, request_id)
            for at, request_id, outcome in leaving.arrivals
            if outcome == "runs"
            and at > left_at + DRAIN_S
            and self._in_touch(self.taken_by[request_id], at)
        ]
        for after_s, request_id in late:
            vm = self.taken_by[request_id].name
            self.record.line(
                f"BROKEN: {request_id} from {vm} reached {leaving.name} "
                f"{after_s:.2f} s after it had left"
            )
        self.broken += len(late)
        self.record.say(
            f"round {number}: {len(late)} requests reached {leaving.name} later than "
            f"{DRAIN_S} s after it had left; {at_work} were at work as it exited"
        )
        if TROUBLE:
            await restart

    async def _watcher(self) -> Daemon:
        """Return the VM that reads the platform's store, by its log."""
        for _ in range(WATCHER_POLLS):
            watching = [d for d in self.site.daemons if d.is_watching()]
            if watching:
                return watching[0]
            await asyncio.sleep(0.1)
        raise CantRunError("no VM watches the store")

    def _in_touch(self, daemon: Daemon, at: float) -> bool:
        return at - self.killed_at.get(daemon.name, 0.0) > RESTART_S + 2 * STABLE_S

    async def _restart(self, daemon: Daemon) -> None:
        await asyncio.sleep(RESTART_S)
        daemon.start()

    async def _consume(self, daemon: Daemon) -> None:
        """Send requests to one VM, each on a new connection."""
        pending: set[asyncio.Task] = set()
        while True:
            self._number += 1
            request_id = f"{self._number:08x}"
            self.taken_by[request_id] = daemon
            task = asyncio.create_task(self._send(daemon, request_id))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(PAUSE_S * random.uniform(0.5, 1.5))

    async def _send(self, daemon: Daemon, request_id: str) -> None:
        answer = await send(
            daemon.front,
            request_id,
            "POST",
            HOST,
            "/enrol/2f",
            KEY,
            DEADLINE_MS,
            self.record,
            b"x" * 300,
        )
        self.answers[str(answer.status)] = self.answers.get(str(answer.status), 0) + 1


async def main() -> int:
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    record = Record(Path(__file__).parent / "record.txt")
    case = Case(record)
    try:
        kept = await case.play()
    except (CantRunError, asyncio.CancelledError) as exc:
        record.say(f"can't run: {str(exc) or 'stopped'}")
        return 2
    finally:
        case.site.close()
    record.say(f"answers by status: {dict(sorted(case.answers.items()))}")
    record.say("DRAIN was kept" if kept else f"DRAIN was broken {case.broken} times")
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
