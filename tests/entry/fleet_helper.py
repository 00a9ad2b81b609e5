"""Whole entry daemons on addresses of the loopback network, with cuts to targets."""

import itertools
import os
import random
from contextlib import ExitStack, contextmanager

import gevent
import msgspec
from entry_helper import FORMATS, KEY, entry_target
from path_helper import CLOCK, caller_server, raw_target, read_all
from result import Err, Ok
from stack_helper import NAMES, parse_response, signed

from lacewingpond.entry.daemon import EntryDaemon
from lacewingpond.entry.settings import check_entry_settings
from lacewingpond.store.memory import MemoryStore
from lacewingpond.targets.errors import SendError, SendFailure, SendReason
from lacewingpond.targets.pool import ConnectionPool
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

PEER_PORTS = [7440, 7455]
HANG_S = 0.3  # the connect timeout of the entry daemon
START_TIMEOUT_S = 20.0
MAX_VMS = 8
_networks = itertools.count(1)


class CuttablePool(ConnectionPool):
    """A pool whose VM may be unable to open connections."""

    __slots__ = ("vm",)

    def _open(self, deadline):
        if not self.vm.cut:
            return super()._open(deadline)
        if self.vm.cut == "hang":
            gevent.sleep(HANG_S)
        return Err(SendError(SendFailure.NOT_SENT, SendReason.CONNECT, self.vm.cut))


class FleetVm:
    """One entry daemon.

    Attributes
    ----------
    cut : str
        How connections to targets fail: "refused" at once, or "hang" until the connect
        timeout; empty if they don't. Open connections go on.
    """

    def __init__(self, number, network, store, domain):
        self.name = f"vm-{number}"
        self.ip = _address(network, number)
        self.log = RecordingDecisionLog()
        self.cut = ""
        self.store = store
        settings = {
            "vm": {
                "id": self.name,
                "failure_domain": domain,
                "region": "region-1",
                "ip": self.ip,
            },
            "listen": {
                "callers": f"{self.ip}:0",
                "readiness": f"{self.ip}:0",
                "peer_ports": PEER_PORTS,
            },
            "store": {"address": "127.0.0.1:1"},
            "bounds": {"stop_grace": "2500ms"},
        }
        cfg = check_entry_settings(settings, "settings").unwrap()
        rng = random.Random(number)
        self.daemon = EntryDaemon(
            cfg, NAMES, FORMATS, "/ready", store, CLOCK, rng, self.log
        )
        self.daemon._client._pools._build = self._build_pool

    def _build_pool(self, address):
        client = self.daemon._client
        rng = random.Random(1)
        pool = CuttablePool(address, 100, client._options, CLOCK, rng)
        pool.vm = self
        return pool

    def call(self, request_id, body=b"", timeout_s=10.0, more="X-More: 1"):
        """Send one request on its own connection; return status, headers and body.

        `more` is one further header.
        """
        port = self.daemon.server.port
        sock = gevent.socket.create_connection((self.ip, port), timeout_s)
        head = (
            f"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: {request_id}\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
            "Connection: close\r\n\r\n"
        )
        with sock:
            sock.sendall(head.encode() + body)
            return parse_response(read_all(sock))

    def lines(self, what):
        return [line for line in self.log.lines if line[0] == what]


class Recorder:
    """A target that records the ids of its requests and responds as told."""

    def __init__(self, respond=signed):
        self.ids = []
        self.respond = respond

    def __call__(self, req):
        b"".join(req.body)
        self.ids.append(req.headers.get("X-Id"))
        return self.respond(req)


def lose(vm, how="refused"):
    """Cut a VM off from all targets, and wait until it has noticed."""
    vm.cut = how
    vm.daemon._client.close()
    vm.daemon._reach.verify()
    assert vm.daemon._reach.lost


def _address(network, number):
    """Return a loopback address that no other process and no running fleet uses."""
    pid = os.getpid()
    host = (network * MAX_VMS + number) % 250 + 1
    return f"127.{pid // 250 % 250 + 1}.{pid % 250 + 1}.{host}"


@contextmanager
def running_fleet(respond, size=4, targets=4, domains=("zone-a",), cfg=None):
    """Run `size` daemons in front of `targets` targets, and yield the VMs."""
    with ExitStack() as exits:
        store = MemoryStore(CLOCK)
        network = next(_networks)
        vms = [
            FleetVm(n, network, store, domains[n % len(domains)])
            for n in range(1, size + 1)
        ]
        for number in range(targets):
            server = exits.enter_context(caller_server(respond))
            target = entry_target(f"t{number}", f"127.0.0.1:{server.port}")
            store.put(f"targets/t{number}", msgspec.json.encode(target), "")
        for vm in vms:
            if cfg is not None:
                vm.daemon.view._formats = msgspec.structs.replace(
                    FORMATS, decode_config=lambda raw: Ok(cfg)
                )
            vm.daemon.start()
            exits.callback(vm.daemon.close)
        store.put("config", b"1", "")
        with gevent.Timeout(START_TIMEOUT_S):
            while not all(_is_ready(vm, size) for vm in vms):
                gevent.sleep(0.02)
        yield vms


def _is_ready(vm, size):
    view = vm.daemon.view
    return view.config is not None and len(view.members) == size and view.targets


def call_through(serve):
    """Send a request that a VM relays to a carrier; return status and headers.

    The carrier runs `serve(sock)` for each connection, in place of another VM.
    """
    with running_fleet(signed, size=2, targets=1) as vms, raw_target(serve) as carrier:
        lose(vms[0])
        members = vms[0].daemon.view.members
        members["vm-2"] = msgspec.structs.replace(
            members["vm-2"], relay=carrier.address
        )
        status, headers, _ = vms[0].call("id-1")
    return status, headers


def statuses(vms, count, first=0):
    """Return the statuses of `count` requests, sent in turn through `vms`."""
    return [
        vms[number % len(vms)].call(f"id-{first + number}")[0]
        for number in range(count)
    ]
