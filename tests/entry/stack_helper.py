"""The request pipeline of one VM behind a real server, with targets on loopback."""

import random
from contextlib import ExitStack, contextmanager
from types import SimpleNamespace

import gevent
import msgspec
from entry_helper import (
    FORMATS,
    KEY,
    Network,
    Vm,
    at,
    config,
    entry_target,
    route,
    statements_of,
)
from path_helper import CLOCK, caller_server, exchange

from lacewingpond.entry.header_names import HeaderNames
from lacewingpond.entry.limits.limiter import TargetLimiter
from lacewingpond.entry.quota.limiter import QuotaLimiter
from lacewingpond.entry.quota.rules import QuotaRules
from lacewingpond.entry.relay.decision import decider
from lacewingpond.entry.relay.reach import Reach
from lacewingpond.entry.relay.sender import RelaySender
from lacewingpond.entry.requests.delivery import DeliveryContext
from lacewingpond.entry.requests.pipeline import EntryPipeline
from lacewingpond.entry.requests.quarantine import EntryQuarantine
from lacewingpond.entry.targets.overdue import OverdueRequests
from lacewingpond.entry.targets.placer import EntryPlacer
from lacewingpond.entry.targets.reporter import OutcomeReporter
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.http.headers import Headers
from lacewingpond.http.options import HttpOptions
from lacewingpond.http.response import Response
from lacewingpond.http.server import CallerServer
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.retries.options import RetryOptions
from lacewingpond.store.base import WatchEvent
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.options import TargetOptions

NAMES = HeaderNames(
    request_id="X-Id",
    deadline_ms="X-Deadline-Ms",
    expected_target="X-Expected",
    target_id="X-Target",
    workspace="X-Workspace",
    signature="X-Signature",
    not_run="X-Not-Run",
)
RULES = QuotaRules(window_s=5.0, overage=0.1, slack=20.0)


def signed(req, status=200, body=b"done", **fields):
    """Return a response as a target signs it."""
    headers = Headers((("X-Id", req.headers.get("X-Id")), ("X-Signature", "s")))
    for name, value in fields.items():
        headers.set(name.replace("_", "-"), value)
    return Response(status, headers, body)


def not_run(req):
    return signed(req, 503, b"", X_Not_Run="1")


def raw_head(status, *fields, length=0):
    lines = [f"HTTP/1.1 {status} Status", *fields, f"Content-Length: {length}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def limiter_of(vm, table, limits, clock):
    return TargetLimiter(limits, table, vm.view, vm.fleet, vm.channel, clock, vm.rng)


def relay_of(vm, table, client, statements, clock):
    """Return whether the VM reaches its targets, and how it relays requests."""
    channel, rng, log = vm.channel, vm.rng, vm.log
    reach = Reach(table, client, vm.fleet, channel, clock, rng, log)
    sender = RelaySender(
        NAMES,
        reach,
        statements,
        decider(vm.name, table, vm.freshness, statements),
        lambda vm_id: None,
        vm.view,
        vm.name,
        vm.domain,
        client,
        clock,
        rng,
        log,
    )
    return reach, sender


def placer_with(placer, pick):
    """Return a placer that picks targets by `pick`."""
    return SimpleNamespace(
        pick=pick,
        load=placer.load,
        passed_over=placer.passed_over,
        pauses_s=placer.pauses_s,
        is_evacuated=placer.is_evacuated,
    )


class Stack:
    """The request pipeline of one VM behind an HTTP server."""

    def __init__(self, config, reserve=10.0):
        self.vm = Vm("vm-1", 1, Network(), CLOCK)
        vm = self.vm
        self.client = TargetClient.from_options(
            TargetOptions(
                connect_timeout_s=0.3,
                deadline_header=NAMES.deadline_ms,
                answer_id_header=NAMES.request_id,
            ),
            CLOCK,
            random.Random(1),
            vm.log,
        )
        self.table = TargetTable(vm.view, self.client, CLOCK)
        reporter = OutcomeReporter(self.table, vm.fleet, vm.channel, CLOCK, vm.log)
        self.overdue = OverdueRequests(reporter, CLOCK)
        self.retries = RetryBudget(RetryOptions(0.2, reserve, reserve))
        limits, statements = statements_of(vm)
        context = DeliveryContext(
            NAMES,
            self.table,
            EntryPlacer(self.table, statements, vm.fleet, CLOCK, vm.rng),
            reporter,
            self.overdue,
            self.client,
            self.retries,
            EntryQuarantine(vm.fleet, vm.channel, CLOCK, vm.log),
            limiter_of(vm, self.table, limits, CLOCK),
            statements,
            *relay_of(vm, self.table, self.client, statements, CLOCK),
            CLOCK,
            vm.log,
        )
        limiter = QuotaLimiter(RULES, vm.view, vm.fleet, vm.channel, CLOCK, vm.rng)
        self.pipeline = EntryPipeline(
            NAMES,
            vm.view,
            vm.freshness,
            limiter,
            context,
            lambda vm_id: None,
            CLOCK,
            vm.rng,
            vm.log,
        )
        self.server = CallerServer.from_options(
            HttpOptions(), self.pipeline.handle, vm.log, CLOCK
        )
        vm.view._formats = msgspec.structs.replace(
            FORMATS, decode_config=lambda raw: _Decoded(config)
        )
        vm.freshness.record_proof(CLOCK.boot(), "test")
        self.put("members/vm-1", vm.member.encode())
        if config is not None:
            self.put("config", b"1")

    def put(self, key, value):
        cache = self.vm.cache
        revision = cache.position.revision + 1
        cache.apply([WatchEvent(key, value, revision)], at(revision))

    def add_target(self, target):
        self.put(f"targets/{target.target_id}", msgspec.json.encode(target))

    def call(self, method="POST", path="/a/x", body=b"", **fields):
        """Send one request and return status, headers by lower-case name, and body."""
        headers = {
            "Host": "shop.example",
            "X-Id": "id-1",
            "Authorization": f"Bearer {KEY}",
            "Content-Length": str(len(body)),
            "Connection": "close",
        }
        headers.update((k.replace("_", "-"), v) for k, v in fields.items())
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in headers.items() if v is not None]
        raw = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        return parse_response(exchange(self.server.port, raw))


class _Decoded:
    """Result of decoding a configuration, without the decoding."""

    def __init__(self, config):
        self.ok_value = config

    def is_err(self):
        return False


def parse_response(raw):
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return int(lines[0].split()[1]), headers, body


@contextmanager
def running(stack):
    stack.server.start()
    overdue = gevent.spawn(stack.overdue.run)
    try:
        yield stack
    finally:
        overdue.kill()
        stack.server.stop()
        stack.client.close()


@contextmanager
def idempotent_stack(timeout_s, *responders, **options):
    """Run a stack whose route is idempotent, with one target per responder."""
    cfg = config(routes=(route(idempotent=True, timeout_s=timeout_s),))
    with ExitStack() as exits:
        stack = exits.enter_context(running(Stack(cfg, **options)))
        for number, respond in enumerate(responders):
            server = exits.enter_context(caller_server(respond))
            address = f"127.0.0.1:{server.port}"
            stack.add_target(entry_target(f"t{number}", address))
        yield stack


def raw_request(request_id, body=b""):
    head = (
        f"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: {request_id}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode()


def quick_then_slow(seconds):
    """Return a responder that works for `seconds` on all requests but `id-0`."""

    def respond(req):
        b"".join(req.body)
        if req.headers.get("X-Id") != "id-0":
            gevent.sleep(seconds)
        return signed(req)

    return respond
