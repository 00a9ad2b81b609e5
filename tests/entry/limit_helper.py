"""A fleet that delivers requests to in-memory targets which name rate limits."""

import random
from collections import Counter
from types import SimpleNamespace

import msgspec
from entry_helper import (
    LEAVING_HEADER,
    LIMIT_HEADER,
    MAX_PAUSE_S,
    Network,
    Vm,
    at,
    entry_target,
    route,
    statements_of,
)
from result import Err, Ok
from stack_helper import NAMES, limiter_of, relay_of

from lacewingpond.entry.model.config_position import ConfigPosition
from lacewingpond.entry.requests.delivery import DeliveryContext, EntryDelivery
from lacewingpond.entry.requests.quarantine import EntryQuarantine
from lacewingpond.entry.requests.routed_request import EntryRequest
from lacewingpond.entry.targets.overdue import OverdueRequests
from lacewingpond.entry.targets.placer import EntryPlacer
from lacewingpond.entry.targets.reporter import OutcomeReporter
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.http.headers import Headers
from lacewingpond.proxy.buffered_body import BufferedBody
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.retries.options import RetryOptions
from lacewingpond.store.base import WatchEvent
from lacewingpond.targets.errors import SendError, SendFailure, SendReason

# The users' bound on a target that names a limit of N requests a second.
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
STABLE_S = 3.0  # after the target first names its limit
TOLD_S = 0.5  # after a VM forwarded a response with the limit
DRAIN_S = 2.0  # after a VM forwarded a response of a target that leaves
MAX_IN_A_PAUSE = 2  # requests of one VM


def allowed(rate):
    """Return the most requests in a window from VMs that were told the limit."""
    return OVERAGE * WINDOW_S * rate + SLACK


class MemoryTargets:
    """Targets that respond at once and state what the attributes say.

    Attributes
    ----------
    limits : dict of str to str
        Limits that targets name.
    leaving : set of str
        Targets that say that they leave.
    pauses : dict of str to str
        Targets that turn requests away, with the pause that they ask for.
    requests : list of tuple
        Time, VM and target of each request that arrived.
    """

    def __init__(self, clock):
        self.clock = clock
        self.limits = {}
        self.leaving = set()
        self.pauses = {}
        self.requests = []
        self.leaving_told_at = {}
        self.paused = []
        self.failing = set()
        self.refusing = set()
        self.erroring = set()
        self.arrivals = []
        self._named_at = {}
        self._told_at = {}

    def send(self, vm, target, request):
        target_id, now = target.target_id, self.clock.now()
        if not request.may_send():
            return Err(SendError(SendFailure.NOT_SENT, SendReason.MAY_NOT_SEND))
        told_at = self._told_at.get((vm.name, target_id), float("inf"))
        self.arrivals.append((now, target_id, now >= told_at + TOLD_S))
        self.requests.append((now, vm.name, target_id))
        if target_id in self.failing:
            return Err(SendError(SendFailure.UNKNOWN, SendReason.BROKEN))
        headers = Headers(((NAMES.request_id, request.headers.get(NAMES.request_id)),))
        headers.set(NAMES.signature, "s")
        if target_id in self.refusing or target_id in self.pauses:
            headers.set(NAMES.not_run, "1")
        if target_id in self.pauses:
            headers.set("Retry-After", self.pauses[target_id])
            until = now + min(float(self.pauses[target_id]), MAX_PAUSE_S)
            self.paused.append((now, until, vm.name, target_id))
        if target_id in self.leaving:
            headers.set(LEAVING_HEADER, "1")
            self.leaving_told_at.setdefault((vm.name, target_id), now)
        if target_id in self.limits:
            headers.set(LIMIT_HEADER, self.limits[target_id])
            self._named_at.setdefault(target_id, now)
            self._told_at.setdefault((vm.name, target_id), now)
        return Ok(MemoryResponse(self._status(target_id), headers))

    def _status(self, target_id):
        if target_id in self.refusing or target_id in self.pauses:
            return 503
        return 500 if target_id in self.erroring else 200

    def forget(self, vm_name):
        """Count no request of a VM until it was told again."""
        self._told_at = {k: at for k, at in self._told_at.items() if k[0] != vm_name}
        self.leaving_told_at = {
            k: at for k, at in self.leaving_told_at.items() if k[0] != vm_name
        }
        self.paused = [each for each in self.paused if each[2] != vm_name]

    def replace(self, target_id):
        """Start a new incarnation of a target, which is not leaving."""
        self.leaving.discard(target_id)
        self.leaving_told_at = {
            k: at for k, at in self.leaving_told_at.items() if k[1] != target_id
        }
        self.paused = [each for each in self.paused if each[3] != target_id]

    def late_at_leaving(self):
        """Return the requests that arrived later than `DRAIN_S` after their VM knew."""
        told_at = self.leaving_told_at
        return [
            (at, vm, target_id)
            for at, vm, target_id in self.requests
            if at > told_at.get((vm, target_id), float("inf")) + DRAIN_S
        ]

    def most_in_a_pause(self):
        """Return the most requests of one VM at a target within a pause for it."""
        counts = (
            sum(
                start + TOLD_S <= at < until and (vm, target_id) == (name, where)
                for at, name, where in self.requests
            )
            for start, until, vm, target_id in self.paused
        )
        return max(counts, default=0)

    def counted(self, target_id):
        """Return the arrivals that the bound counts: those from VMs that were told."""
        bound_from = self._named_at.get(target_id, float("inf")) + STABLE_S
        return [
            at
            for at, arrived, told in self.arrivals
            if arrived == target_id and at >= bound_from and told
        ]

    def most_in_a_window(self, target_id):
        counted = self.counted(target_id)
        windows = (sum(at < t <= at + WINDOW_S for t in counted) for at in counted)
        return max(windows, default=0) + (1 if counted else 0)

    def arrived_at(self, target_id, since=float("-inf")):
        return sum(t == target_id and at >= since for at, t, _ in self.arrivals)


class MemoryResponse:
    """A complete response without a body, as `TargetClient` returns it."""

    def __init__(self, status, headers):
        self.status, self.headers = status, headers
        self.reason, self.reused, self.end = "", False, "complete"

    def __iter__(self):
        return iter(())

    def set_deadline(self, deadline):
        pass

    def close(self):
        pass


class LimitedVm:
    """The delivery of requests on one VM of the fleet."""

    def __init__(self, vm, targets, clock):
        self.vm, self.clock = vm, clock
        client = SimpleNamespace(
            send=lambda target, request, deadline: targets.send(vm, target, request),
            close_idle=lambda address: None,
        )
        self.table = TargetTable(vm.view, client, clock)
        self.retries = RetryBudget(RetryOptions(0.2, 10.0, 10.0))
        reporter = OutcomeReporter(self.table, vm.fleet, vm.channel, clock, vm.log)
        limits, statements = statements_of(vm)
        self.context = DeliveryContext(
            NAMES,
            self.table,
            EntryPlacer(self.table, statements, vm.fleet, clock, vm.rng),
            reporter,
            OverdueRequests(reporter, clock),
            client,
            self.retries,
            EntryQuarantine(vm.fleet, vm.channel, clock, vm.log),
            limiter_of(vm, self.table, limits, clock),
            statements,
            *relay_of(vm, self.table, client, statements, clock),
            clock,
            vm.log,
        )

    def deliver(self, number, idempotent=False):
        """Deliver one request and return its response or refusal."""
        headers = Headers(((NAMES.request_id, f"id-{number}"),))
        now = self.clock.now()
        request = EntryRequest(
            request_id=f"id-{number}",
            route=route(idempotent=idempotent),
            service="svc",
            workspace="acme",
            method="POST",
            path="/a/x",
            headers=headers,
            body=BufferedBody(b""),
            deadline=now + 5.0,
            fingerprint="",
            is_disconnected=lambda: False,
            may_send=lambda: True,
            received_at=now,
            caller_headers=headers,
            config=ConfigPosition(1),
        )
        return EntryDelivery(self.context, request).run()


class LimitFleet:
    """VMs in three failure domains in front of the targets of one service."""

    def __init__(self, clock, vms=40, targets=11):
        self.clock, self.rng = clock, random.Random(1)
        self.network = Network()
        self.targets = MemoryTargets(clock)
        self.outcomes = []
        domains = ("zone-a", "zone-b", "zone-c")
        self.vms = [
            Vm(f"vm-{n}", n, self.network, clock, domains[n % 3])
            for n in range(1, vms + 1)
        ]
        self.daemons = [LimitedVm(vm, self.targets, clock) for vm in self.vms]
        for vm in self.vms:
            self.put(f"members/{vm.name}", vm.member.encode())
        for number in range(targets):
            self.add_target(f"t{number}", number)

    def add_target(self, target_id, number, incarnation=0):
        spec = entry_target(
            target_id, f"127.0.0.1:{9000 + number}", incarnation=incarnation
        )
        self.put(f"targets/{target_id}", msgspec.json.encode(spec))

    def put(self, key, value):
        """Apply a change of the store on all VMs."""
        for vm in self.vms:
            revision = vm.cache.position.revision + 1
            vm.cache.apply([WatchEvent(key, value, revision)], at(revision))

    def restart(self, number):
        """Restart the process of a VM, which forgets all limits and tokens."""
        vm = self.vms[number]
        vm.view._on_targets.clear()
        vm.view._on_members[:] = vm.view._on_members[:1]
        self.daemons[number] = LimitedVm(vm, self.targets, self.clock)
        self.daemons[number].table._update()
        self.targets.forget(vm.name)

    def run(self, seconds, per_s=45, idempotent=False, vms=None):
        """Deliver `per_s` requests a second through random VMs."""
        daemons = self.daemons if vms is None else [self.daemons[n] for n in vms]
        for _ in range(round(seconds * per_s)):
            daemon = self.rng.choice(daemons)
            outcome = daemon.deliver(len(self.outcomes), idempotent)
            self.outcomes.append(outcome)
            self.clock.advance(1.0 / per_s)

    def statuses(self):
        """Return how often each status was returned to callers."""
        return Counter(
            o.ok_value.status if o.is_ok() else o.err_value.status
            for o in self.outcomes
        )
