"""A watch is cut just before the entry of a leaving instance is removed."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib import config
from lib.case import BROKEN, HELD, HOST, CannotRunError, Case, run, trouble
from lib.instance import Instance

ZONES = ("zone-a", "zone-b", "zone-c")
KEY = "key-of-acme-0001"
DRAIN_S = 2.0  # bounds.drain
# "for drain after the store has accepted that report and a little longer (at times
# many seconds)"
EXIT_AFTER_S = (2.6, 6.0, 6.0)
RATE = 40.0
WORK_S = 0.35
AWAIT_S, CUTS_S = 30.0, 0.5
LEAVING = ("i-booking-0", "i-booking-1", "i-booking-2")


async def traffic(case: Case, tasks: set[asyncio.Task]) -> None:
    """Send non-idempotent requests to all daemons in turn."""
    number = 0
    while True:
        daemon = case.daemons[number % len(case.daemons)]
        number += 1
        task = asyncio.create_task(case.send(daemon, "POST", "/book/x", KEY))
        tasks.add(task)
        await asyncio.sleep(1.0 / RATE)


async def cut_watches(case: Case) -> None:
    """Cut the watches that wait within `CUTS_S`, once there is one."""
    cut, end = 0, case.now() + AWAIT_S
    while case.now() < end:
        found = case.store.cut_waiting_watches()
        if found and not cut:
            end = case.now() + CUTS_S
        cut += found
        await asyncio.sleep(0.01)
    if not cut:
        raise CannotRunError("no watch has waited")


def note_told(
    case: Case, told: dict[tuple[str, str], float], caller: str, events: list[dict]
) -> None:
    """Note when the store itself tells a daemon that an instance is gone."""
    gone = {e["key"].removeprefix("servers/") for e in events if e.get("deleted")}
    for instance in gone.intersection(LEAVING):
        if (caller, instance) not in told:
            told[caller, instance] = case.now()
            case.note("told", daemon=caller, what=f"servers/{instance} was removed")


async def leave(case: Case, leaving: list[Instance]) -> float:
    """Remove the entries of instances, which exit later; return when."""
    for instance in leaving:
        instance.unregister()
    removed_at = case.now()
    for instance, exit_after_s in zip(leaving, EXIT_AFTER_S, strict=True):
        await asyncio.sleep(removed_at + exit_after_s - case.now())
        instance.exit()
    return removed_at


async def play(case: Case) -> int:
    """Play the case and return its verdict."""
    instances = await case.add_instances("booking", 6, WORK_S, ZONES)
    case.configure(
        config.document(
            7,
            HOST,
            [config.tenant("acme", KEY)],
            [config.rule("book", "/book/", "booking", "non_idempotent", "4000ms")],
            ["booking"],
        )
    )
    await case.add_daemons(ZONES)
    await case.start_daemons()
    await asyncio.sleep(3.0)
    told: dict[tuple[str, str], float] = {}
    case.store.on_watch = lambda caller, events, waited_s: note_told(
        case, told, caller, events
    )
    tasks: set[asyncio.Task] = set()
    sender = asyncio.create_task(traffic(case, tasks))
    await asyncio.sleep(6.0)
    if trouble():
        await cut_watches(case)
    removed_at = await leave(case, instances[:3])
    await asyncio.sleep(2.0)
    sender.cancel()
    await asyncio.gather(*tasks)
    late = [
        row
        for row in case.found("arrives")
        if row["instance"] in LEAVING and row["t"] > removed_at + DRAIN_S
    ]
    ran = {row["id"] for row in case.found("ran")}
    lost = [row["id"] for row in late if row["id"] not in ran]
    daemon_of = {row["id"]: row["to"] for row in case.found("sent")}
    after_told = [
        row["t"] - told[daemon_of[row["id"]], row["instance"]]
        for row in late
        if (daemon_of[row["id"]], row["instance"]) in told
    ]
    own_late = [after_s for after_s in after_told if after_s > DRAIN_S]
    last = max((row["t"] for row in late), default=removed_at) - removed_at
    case.note(
        "verdict",
        late=len(late),
        last_after_s=round(last, 2),
        lost=len(lost),
        after_own_acknowledgement=len(own_late),
    )
    print(f"{len(late)} requests reached an instance more than {DRAIN_S:g} s after its")
    print(f"entry was removed, the last {last:.2f} s after; {len(lost)} were lost.")
    print(f"{len(own_late)} came more than {DRAIN_S:g} s after the store had told the")
    print("daemon that sent them.")
    return BROKEN if late else HELD


if __name__ == "__main__":
    run(__file__, play)
