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
from lacewingpond.config.keys import key_digest, new_key
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
GRAY_TARGET = "booking-1"
GALLERY_TARGETS = ("gallery-1", "gallery-2", "gallery-3")
BOOKING_TARGETS = ("booking-1", "booking-2", "booking-3", "booking-4", "booking-5")
LOAD_DURATION_S = 12.0
STOP_AFTER_S = 8.0
MAX_APPLY_S = 3.0
MAX_WITHDRAWAL_S = 3.0
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02


class Demo:
    """Runs the scenario and checks its outcomes.

    Parameters
    ----------
    clock : Clock
        Clock of the fleet and the load.
    progress : callable
        Called with one line of text before each step.
    seed : int
        Seed of the load and of the daemons' random choices.
    """

    __slots__ = (
        "_clock",
        "_progress",
        "_seed",
        "_fleet",
        "_keys",
        "_outcomes",
        "_counts",
    )

    def __init__(
        self, clock: Clock, progress: Callable[[str], None], seed: int
    ) -> None:
        self._clock = clock
        self._progress = progress
        self._seed = seed
        self._fleet = LocalFleet(clock, seed)
        self._keys = {name: new_key() for name in ("chitra-ghar", "imbaraga", "guest")}
        self._outcomes: list[DemoOutcome] = []
        self._counts: dict[str, float] = {}

    def run(self) -> DemoReport:
        """Run the scenario and return its outcomes; the fleet is stopped."""
        try:
            self._start()
            self._configure()
            load = gevent.spawn(self._run_load)
            self._clock.sleep(STOP_AFTER_S / 2)
            self._withdraw_key()
            self._clock.sleep(STOP_AFTER_S / 2)
            self._stop_vm()
            self._check_load(load.get())
            self._check_gray_target()
            self._check_keys()
        finally:
            self._fleet.stop()
        return DemoReport(tuple(self._outcomes), self._counts)

    def _start(self) -> None:
        self._progress(
            "Starting a stand-in platform, 8 stand-in targets and 3 daemons."
        )
        for name in (*GALLERY_TARGETS, *BOOKING_TARGETS):
            gray_share = 0.5 if name == GRAY_TARGET else 0.0
            self._fleet.add_target(name, work_s=0.004, gray_share=gray_share)
        for vm_id in VM_IDS:
            self._fleet.add_daemon(vm_id)
        elapsed_s = self._fleet.wait_until(self._fleet.owns_all_shards, TIMEOUT_S)
        self._record(
            "every shard has one owner",
            elapsed_s is not None,
            _format_seconds(elapsed_s),
        )

    def _configure(self) -> None:
        self._progress("Confirming a plan with workspaces, keys, services and routes.")
        revision = self._fleet.apply_intents(VM_IDS[0], *self._intents())
        elapsed_s = self._wait_for_revision(revision)
        held = elapsed_s is not None and elapsed_s <= MAX_APPLY_S
        self._record(
            "the plan is applied on all VMs within 3 s",
            held,
            _format_seconds(elapsed_s),
        )

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
            intents.append(GrantKey(Key(f"key-{name}", name, key_digest(key))))
        return intents

    def _service(self, name: str, targets: tuple[str, ...]) -> Service:
        records = tuple(
            Target(target, self._fleet.targets[target].address, DOMAINS[i % 3])
            for i, target in enumerate(targets)
        )
        return Service(name, records, floor=0.5, not_run_marker="X-Not-Run: 1")

    def _run_load(self) -> LoadReport:
        self._progress(
            f"Sending load for {LOAD_DURATION_S:g} s; "
            f"{GRAY_TARGET} fails half of its requests."
        )
        daemons = tuple(d.caller_address for d in self._fleet.daemons.values())
        plan = LoadPlan(
            daemons=daemons,
            workspaces=(
                self._workspace_load("chitra-ghar"),
                self._workspace_load("imbaraga"),
            ),
            targets=tuple(t.address for t in self._fleet.targets.values()),
            balancer_check_path=ProxyOptions().balancer_check_path,
            duration_s=LOAD_DURATION_S,
            seed=self._seed,
        )
        return LoadRunner(plan, self._clock, lambda line: None).run()

    def _workspace_load(self, workspace: str) -> WorkspaceLoad:
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
        self._progress(
            "Withdrawing the guest's key while the guest's connections stay open."
        )
        pools = [urllib3.PoolManager(retries=False) for _ in VM_IDS]
        statuses_before = [
            self._request_as_guest(*pair) for pair in zip(pools, VM_IDS, strict=True)
        ]
        self._fleet.apply_intents(VM_IDS[1], WithdrawKey("key-guest"))
        started = self._clock.now()
        for pool, vm_id in zip(pools, VM_IDS, strict=True):
            while (
                self._request_as_guest(pool, vm_id) != 401
                and self._clock.now() - started < MAX_WITHDRAWAL_S
            ):
                self._clock.sleep(POLL_INTERVAL_S)
        elapsed_s = self._clock.now() - started
        held = set(statuses_before) == {200} and elapsed_s < MAX_WITHDRAWAL_S
        name = "a withdrawn key is refused on open connections within 3 s"
        self._record(name, held, _format_seconds(elapsed_s))

    def _request_as_guest(self, pool: urllib3.PoolManager, vm_id: str) -> int:
        address = self._fleet.daemons[vm_id].caller_address
        headers = {"X-Api-Key": self._keys["guest"]}
        return pool.request("GET", f"http://{address}/gallery", headers=headers).status

    def _stop_vm(self) -> None:
        self._progress(f"Starting a planned stop of {VM_IDS[2]} under load.")
        cut = self._fleet.daemons.pop(VM_IDS[2]).stop()
        self._record("the planned stop cuts off no request", cut == 0, f"{cut} cut off")
        elapsed_s = self._fleet.wait_until(self._fleet.owns_all_shards, TIMEOUT_S)
        self._record(
            "the stopped VM's shards have new owners",
            elapsed_s is not None,
            _format_seconds(elapsed_s),
        )

    def _check_load(self, report: LoadReport) -> None:
        sent = sum(row.sent for row in report.workspaces)
        errors = sum(row.errors for row in report.workspaces)
        refused = sum(row.refused_not_run for row in report.workspaces)
        unknown = sum(row.refused_unknown for row in report.workspaces)
        self._counts |= {"sent": sent, "errors": errors, "unknown": unknown}
        self._counts |= {"not_run": refused, "broken": len(report.broken)}
        for row in report.workspaces:
            self._counts[f"p99_ms_{row.workspace}"] = row.p99_ms
        self._record(
            "no request ends without a correct response",
            errors == 0,
            f"{errors} of {sent}",
        )
        self._record(
            "no request within its rate is refused",
            refused == 0,
            f"{refused} of {sent}",
        )
        self._record(
            "responses and refusals agree with the runs that targets counted",
            not report.broken,
            "; ".join(report.broken[:3]) or f"{sent} requests compared",
        )

    def _check_gray_target(self) -> None:
        verdicts = {
            vm_id: daemon.traffic.health.verdict("booking", GRAY_TARGET).state
            for vm_id, daemon in self._fleet.daemons.items()
        }
        held = all(state is not VerdictState.HEALTHY for state in verdicts.values())
        seen = ", ".join(f"{vm}: {state.name}" for vm, state in verdicts.items())
        self._record(f"{GRAY_TARGET} gets no normal share of work", held, seen.lower())

    def _check_keys(self) -> None:
        counts = TargetCounts.read(t.address for t in self._fleet.targets.values())
        self._counts["keys_seen"] = counts.keys_seen
        seen = f"{counts.keys_seen} seen"
        self._record("no target sees a caller's key", counts.keys_seen == 0, seen)

    def _wait_for_revision(self, revision: int) -> float | None:
        def is_applied() -> bool:
            daemons = self._fleet.daemons.values()
            return all(d.fleet.holder.revision >= revision for d in daemons)

        return self._fleet.wait_until(is_applied, TIMEOUT_S)

    def _record(self, name: str, held: bool, seen: str) -> None:
        self._outcomes.append(DemoOutcome(name, held, seen))


def _format_seconds(elapsed_s: float | None) -> str:
    return "never" if elapsed_s is None else f"{elapsed_s:.2f} s"
