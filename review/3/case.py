"""The daemon that watches the store for its zone is cut off from it."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib import config
from lib.case import BROKEN, HELD, HOST, CannotRunError, Case, run, trouble

ZONES = ("zone-a", "zone-a")
KEY = "key-of-acme-0001"
APPLY_S = 2.0  # bounds.config-apply
STABLE_S = 3.0  # bounds.stable-window
CUT_S = 5.0  # the longest core_cut of imbaraga-gw lasts 5.5 s
ROUNDS = 10
ROUND_S, END_S = 10.0, 112.0  # no round begins that could not end by then
SPACING_S = 0.02
FOLLOWS_S = 1.5  # without a watch of its own for so long, a daemon follows the other
AT_ONCE_S = 0.02
NOT_FOUND = 404


def document(version: int) -> dict:
    """Return a configuration with one more route for each version."""
    rules = [
        config.rule(f"r-{n}", f"/r{n}/", "booking", "non_idempotent", "4000ms")
        for n in range(7, version + 1)
    ]
    tenants = [config.tenant("acme", KEY)]
    return config.document(version, HOST, tenants, rules, ["booking"])


class Watches:
    """When each daemon got an answer to a watch of its own."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._last: dict[str, float] = {}
        self._wanted: asyncio.Future[str] | None = None
        case.store.on_watch = self._answered

    async def next_watcher(self) -> str:
        """Return the daemon that watches alone, just after an answer at once."""
        self._wanted = asyncio.get_running_loop().create_future()
        return await self._wanted

    def _answered(self, caller: str, events: list[dict], waited_s: float) -> None:
        now = self._case.now()
        self._last[caller] = now
        wanted = self._wanted
        if wanted is None or wanted.done() or not events or waited_s > AT_ONCE_S:
            return
        others = [at for name, at in self._last.items() if name != caller]
        if all(now - at > FOLLOWS_S for at in others):
            wanted.set_result(caller)


async def play_round(case: Case, watches: Watches, version: int) -> list[dict]:
    """Change the configuration; return the requests that were handled by the old one.

    With the disruption, the daemon that watches the store is cut off just before.
    """
    watcher = await watches.next_watcher()
    follower = next(d for d in case.daemons if d.name != watcher)
    if trouble():
        case.store.silent_for.add(watcher)
        case.note("cut", daemon=watcher)
    case.configure(document(version))
    confirmed_at = case.now()
    await asyncio.sleep(APPLY_S)
    tasks = []
    while case.now() < confirmed_at + APPLY_S + 0.6:
        send = case.send(follower, "POST", f"/r{version}/x", KEY)
        tasks.append(asyncio.create_task(send))
        await asyncio.sleep(SPACING_S)
    rows = await asyncio.gather(*tasks)
    await asyncio.sleep(confirmed_at + CUT_S - case.now())
    case.store.silent_for.clear()
    case.note("healed")
    late = [
        row
        for row in rows
        if row["status"] == NOT_FOUND and row["sent_at"] > confirmed_at + APPLY_S
    ]
    last = max((row["sent_at"] for row in late), default=confirmed_at) - confirmed_at
    case.note("round", version=version, late=len(late), last_after_s=round(last, 3))
    print(f"version {version}: {len(late)} refused with 404, last {last:.3f} s after")
    await asyncio.sleep(STABLE_S + 0.2)
    return late


async def play(case: Case) -> int:
    """Play the case and return its verdict."""
    await case.add_instances("booking", 6, 0.02, ("zone-a",))
    case.configure(document(7))
    await case.add_daemons(ZONES)
    await case.start_daemons()
    watches = Watches(case)
    await asyncio.sleep(4.0)
    late = []
    for version in range(8, 8 + ROUNDS):
        left_s = END_S - case.now()
        if left_s < ROUND_S:
            break
        try:
            late += await asyncio.wait_for(play_round(case, watches, version), left_s)
        except TimeoutError:
            break
    if not case.found("round"):
        raise CannotRunError("no daemon followed the other one")
    case.note("verdict", late=len(late))
    print(f"{len(late)} requests, sent more than {APPLY_S:g} s after the confirmation")
    print("of a route, were refused with 404 by a daemon that was not cut off")
    return BROKEN if late else HELD


if __name__ == "__main__":
    run(__file__, play)
