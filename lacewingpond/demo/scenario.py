"""The demo: two workspaces, a gray target, a withdrawn key and a planned stop."""

from collections.abc import Callable

import gevent
import urllib3

from lacewingpond.config.intents import (
    GrantKey,
    PutRoute,
    PutService,
    PutWorkspace,
    WithdrawKey,
)
from lacewingpond.config.keys import digest_of, new_key
from lacewingpond.config.model import Key, Route, Service, Target, Workspace
from lacewingpond.demo.fleet import DOMAINS, LocalFleet
from lacewingpond.demo.outcome import DemoOutcome, DemoReport
from lacewingpond.health.verdict import VerdictState
from lacewingpond.load.plan import LoadPlan, RequestKind, WorkspaceLoad
from lacewingpond.load.runner import LoadRunner
from lacewingpond.load.summary import LoadReport
from lacewingpond.load.targets import TargetCounts
from lacewingpond.proxy.options import ProxyOptions
from lacewingpond.util.clock import Clock

VM_IDS = ("vm-1", "vm-2", "vm-3")
GRAY = "booking-1"
GALLERY_TARGETS = ("gallery-1", "gallery-2", "gallery-3")
BOOKING_TARGETS = ("booking-1", "booking-2", "booking-3", "booking-4", "booking-5")
LOAD_S = 12.0
STOP_AFTER_S = 8.0
IN_FORCE_S = 3.0
WITHDRAWAL_S = 3.0
START_S = 30.0
CHECK_PERIOD_S = 0.02


class Demo:
    """Runs the scenario and collects its outcomes.

    Parameters
    ----------
    clock : Clock
        Paces everything.
    tell : callable
        Takes lines of progress.
    seed : int
        Seed of the load and of the daemons' choices.
    """

    __slots__ = ("_clock", "_tell", "_seed", "_fleet", "_keys", "_outcomes", "_counts")

    def __init__(self, clock: Clock, tell: Callable[[str], None], seed: int) -> None:
        self._clock = clock
        self._tell = tell
        self._seed = seed
        self._fleet = LocalFleet(clock, seed)
        self._keys = {name: new_key() for name in ("chitra-ghar", "imbaraga", "guest")}
        self._outcomes: list[DemoOutcome] = []
        self._counts: dict[str, float] = {}

    def run(self) -> DemoReport:
        """Run everything and return what came of it."""
        try:
            self._start()
            self._configure()
            load = gevent.spawn(self._run_load)
            self._clock.sleep(STOP_AFTER_S / 2)
            self._withdraw_key()
            self._clock.sleep(STOP_AFTER_S / 2)
            self._stop_one()
            self._judge_load(load.get())
            self._judge_gray()
            self._judge_keys()
        finally:
            self._fleet.stop()
        return DemoReport(tuple(self._outcomes), self._counts)

    def _start(self) -> None:
        self._tell("Starting a stand-in platform, 8 targets and 3 daemons.")
        for name in (*GALLERY_TARGETS, *BOOKING_TARGETS):
            gray_share = 0.5 if name == GRAY else 0.0
            self._fleet.add_target(name, work_s=0.004, gray_share=gray_share)
        for vm_id in VM_IDS:
            self._fleet.add_daemon(vm_id)
        took = self._fleet.wait_until(self._fleet.owns_all_shards, START_S)
        self._note("every shard has one owner", took is not None, _seconds(took))

    def _configure(self) -> None:
        self._tell("An operator's plan is confirmed: workspaces, keys and routes.")
        revision = self._fleet.change(VM_IDS[0], *self._intents())
        took = self._wait_for_revision(revision)
        held = took is not None and took <= IN_FORCE_S
        self._note("the plan is in force on all VMs within 3 s", held, _seconds(took))

    def _intents(self) -> list:
        intents = [
            PutService(self._service("gallery", GALLERY_TARGETS)),
            PutService(self._service("booking", BOOKING_TARGETS)),
            PutRoute(Route("browse", "gallery", "/gallery", methods=("GET",))),
            PutRoute(
                Route("commission", "booking", "/commission", methods=("GET", "POST"))
            ),
        ]
        for name, key in self._keys.items():
            intents.append(PutWorkspace(Workspace(name, 200.0, 100.0)))
            intents.append(GrantKey(Key(f"key-{name}", name, digest_of(key))))
        return intents

    def _service(self, name: str, targets: tuple[str, ...]) -> Service:
        listed = tuple(
            Target(target, self._fleet.targets[target].address, DOMAINS[i % 3])
            for i, target in enumerate(targets)
        )
        return Service(name, listed, floor=0.5, not_run_marker="X-Not-Run: 1")

    def _run_load(self) -> LoadReport:
        self._tell(f"Sending load for {LOAD_S:g} s; {GRAY} fails half of its work.")
        daemons = tuple(d.caller_address for d in self._fleet.daemons.values())
        plan = LoadPlan(
            daemons=daemons,
            workspaces=(self._load("chitra-ghar"), self._load("imbaraga")),
            targets=tuple(t.address for t in self._fleet.targets.values()),
            balancer_check_path=ProxyOptions().balancer_check_path,
            duration_s=LOAD_S,
            seed=self._seed,
        )
        return LoadRunner(plan, self._clock, lambda line: None).run()

    def _load(self, workspace: str) -> WorkspaceLoad:
        return WorkspaceLoad(
            name=workspace,
            key=self._keys[workspace],
            rate=60.0,
            held_sessions=5,
            requests=(
                RequestKind("/gallery", weight=1.0),
                RequestKind("/commission", weight=1.0),
                RequestKind(
                    "/commission",
                    "POST",
                    body_bytes=300,
                    idempotency_key=True,
                    repeat_share=0.3,
                    abandon_share=0.1,
                ),
            ),
        )

    def _withdraw_key(self) -> None:
        self._tell("The guest's key is withdrawn while its connections stay open.")
        pools = [urllib3.PoolManager(retries=False) for _ in VM_IDS]
        before = [self._ask_as_guest(*pair) for pair in zip(pools, VM_IDS, strict=True)]
        self._fleet.change(VM_IDS[1], WithdrawKey("key-guest"))
        started = self._clock.now()
        for pool, vm_id in zip(pools, VM_IDS, strict=True):
            while (
                self._ask_as_guest(pool, vm_id) != 401
                and self._clock.now() - started < WITHDRAWAL_S
            ):
                self._clock.sleep(CHECK_PERIOD_S)
        took = self._clock.now() - started
        held = set(before) == {200} and took < WITHDRAWAL_S
        name = "a withdrawn key is refused on held connections within 3 s"
        self._note(name, held, _seconds(took))

    def _ask_as_guest(self, pool: urllib3.PoolManager, vm_id: str) -> int:
        address = self._fleet.daemons[vm_id].caller_address
        headers = {"X-Api-Key": self._keys["guest"]}
        return pool.request("GET", f"http://{address}/gallery", headers=headers).status

    def _stop_one(self) -> None:
        self._tell(f"{VM_IDS[2]} is stopped as planned, under load.")
        cut = self._fleet.daemons.pop(VM_IDS[2]).stop()
        self._note("the planned stop cuts no request", cut == 0, f"{cut} cut")
        took = self._fleet.wait_until(self._fleet.owns_all_shards, START_S)
        self._note("its shards have new owners", took is not None, _seconds(took))

    def _judge_load(self, report: LoadReport) -> None:
        sent = sum(row.sent for row in report.workspaces)
        errors = sum(row.errors for row in report.workspaces)
        refused = sum(row.refused_not_run for row in report.workspaces)
        unknown = sum(row.refused_unknown for row in report.workspaces)
        self._counts |= {"sent": sent, "errors": errors, "unknown": unknown}
        self._counts |= {"not_run": refused, "broken": len(report.broken)}
        for row in report.workspaces:
            self._counts[f"p99_ms_{row.workspace}"] = row.p99_ms
        self._note("no connection is cut", errors == 0, f"{errors} of {sent}")
        self._note(
            "no request within its rate is refused",
            refused == 0,
            f"{refused} of {sent}",
        )
        self._note(
            "runs, answers and refusals agree with the targets' counts",
            not report.broken,
            "; ".join(report.broken[:3]) or f"{sent} requests compared",
        )

    def _judge_gray(self) -> None:
        verdicts = {
            vm_id: daemon.traffic.health.verdict("booking", GRAY).state
            for vm_id, daemon in self._fleet.daemons.items()
        }
        held = all(state is not VerdictState.HEALTHY for state in verdicts.values())
        seen = ", ".join(f"{vm}: {state.name}" for vm, state in verdicts.items())
        self._note(f"{GRAY} gets no normal share of work", held, seen.lower())

    def _judge_keys(self) -> None:
        counts = TargetCounts.read(t.address for t in self._fleet.targets.values())
        self._counts["keys_seen"] = counts.keys_seen
        seen = f"{counts.keys_seen} seen"
        self._note("no target sees a caller's key", counts.keys_seen == 0, seen)

    def _wait_for_revision(self, revision: int) -> float | None:
        def in_force() -> bool:
            daemons = self._fleet.daemons.values()
            return all(d.fleet.holder.revision >= revision for d in daemons)

        return self._fleet.wait_until(in_force, START_S)

    def _note(self, name: str, held: bool, seen: str) -> None:
        self._outcomes.append(DemoOutcome(name, held, seen))


def _seconds(took: float | None) -> str:
    return "never" if took is None else f"{took:.2f} s"
