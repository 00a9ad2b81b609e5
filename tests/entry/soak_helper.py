"""Clients, targets and faults of the soak of entry daemons."""

import random

import gevent
import msgspec
from entry_helper import KEY, config, entry_target, route
from era_helper import EraStore
from fleet_helper import FleetVm, _networks
from limit_helper import STABLE_S, WINDOW_S, allowed
from path_helper import CLOCK, caller_server
from response_reader import read_response
from result import Ok
from stack_helper import not_run, signed

TIMEOUT_S = 3.0  # of the routes
CLIENT_TIMEOUT_S = TIMEOUT_S + 2.0
STOP_EXCUSED_S = 0.6  # end of the grace in which a target may still be at work
WORK_S = (0.01, 0.3)
ERROR_SHARE = 0.02
KINDS = ["stop", "kill", "cut", "cut", "limit", "drill", "add_route", "add_route"]
BUSY_SHARE = 0.02


def decode_routes(raw):
    """Return the configuration of a version, which has the routes of all before."""
    version = int(raw)
    fields = {"timeout_s": TIMEOUT_S, "max_attempts": 3}
    routes = []
    for number in range(1, version + 1):
        routes.append(route(name=f"a{number}", prefix=f"/a{number}/", **fields))
        read = {"prefix": f"/r{number}/", "idempotent": True}
        routes.append(route(name=f"r{number}", **read, **fields))
    return Ok(config(version, tuple(routes)))


class SoakTarget:
    """Works for a random time, and records what it ran and when requests arrived."""

    def __init__(self, name, rng, runs):
        self.name, self.rng, self.runs = name, rng, runs
        self.limit = None
        self.limited_at = float("inf")
        self.arrivals = []

    def name_limit(self, rate):
        self.limit = rate
        self.limited_at = CLOCK.now() if rate is not None else float("inf")

    def handle(self, req):
        self.arrivals.append(CLOCK.now())
        body = b"".join(req.body)
        draw = self.rng.random()
        if draw < BUSY_SHARE:
            return self._named(not_run(req))
        self.runs.setdefault(req.headers.get("X-Id"), []).append(self.name)
        gevent.sleep(self.rng.uniform(*WORK_S))
        status = 500 if draw < BUSY_SHARE + ERROR_SHARE else 200
        return self._named(signed(req, status, req.headers.get("X-Id").encode() + body))

    def _named(self, response):
        if self.limit is not None:
            response.headers.set("X-Limit", f"{self.limit:g}")
        return response

    def excess(self, restarts):
        """Return how many requests a window got beyond the limit named in it."""
        if self.limit is None:
            return 0
        since = self.limited_at + STABLE_S
        counted = [at for at in self.arrivals if at >= since]
        most = max(
            (sum(at <= t < at + WINDOW_S for t in counted) for at in counted), default=0
        )
        # A VM that has restarted sends one request before it is told again.
        recent = sum(at >= since - WINDOW_S for at in restarts)
        return max(most - allowed(self.limit) - recent, 0)


class Exchange(msgspec.Struct):
    """One request of a client, and what became of it."""

    request_id: str
    idempotent: bool
    vm: str
    sent_at: float
    version: int = 1
    incarnation: int = 0
    ended_at: float = 0.0
    status: int = 0
    run: str = ""
    body: bytes = b""
    complete: bool = False
    read_any: bool = False


class SoakClient:
    """Sends one request after another on a connection, until that is closed."""

    def __init__(self, number, fleet, rng):
        self.number, self.fleet, self.rng = number, fleet, rng
        self.exchanges = []

    def run(self):
        count = 0
        while not self.fleet.over:
            vm = self.fleet.balance(self.rng)
            if vm is None:
                gevent.sleep(0.05)
                continue
            try:
                sock = gevent.socket.create_connection(
                    (vm.ip, vm.daemon.server.port), 1.0
                )
            except OSError:
                gevent.sleep(0.05)
                continue
            with sock:
                sock.settimeout(CLIENT_TIMEOUT_S)
                while self._exchange(sock, vm, f"c{self.number}-{count}"):
                    count += 1
                    if self.fleet.over:
                        return
                    gevent.sleep(self.rng.expovariate(8.0))
            count += 1

    def _exchange(self, sock, vm, request_id):
        idempotent = self.rng.random() < 0.4
        body = b"x" * self.rng.choice([0, 10, 3000])
        # The version that added the route; some clients know it before the VMs do.
        version = self.rng.randint(1, self.fleet.version)
        exchange = Exchange(
            request_id, idempotent, vm.name, CLOCK.now(), version, vm.incarnation
        )
        self.exchanges.append(exchange)
        path = f"/r{version}/x" if idempotent else f"/a{version}/x"
        head = (
            f"POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Id: {request_id}\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            sock.sendall(head.encode() + body)
            return read_response(sock, exchange)
        except OSError:
            return False
        finally:
            exchange.ended_at = CLOCK.now()


class SoakFleet:
    """Daemons that are cut off, stopped, killed and started again."""

    def __init__(self, seed, exits, size=4, targets=5, clients=16):
        self.rng = random.Random(seed)
        self.exits = exits
        self.over = False
        self.store = EraStore(CLOCK)
        self.network = next(_networks)
        self.runs = {}
        self.stops, self.kills, self.restarts, self.started = [], [], [], []
        self.targets = [
            SoakTarget(f"t{n}", random.Random(seed * 100 + n), self.runs)
            for n in range(targets)
        ]
        for number, target in enumerate(self.targets):
            server = exits.enter_context(caller_server(target.handle))
            spec = entry_target(f"t{number}", f"127.0.0.1:{server.port}")
            self.store.operate(f"targets/t{number}", msgspec.json.encode(spec))
        self.version = 1
        self.vms = {}
        for number in range(1, size + 1):
            self.start(number)
        self.store.operate("config", b"1")
        self.clients = [
            SoakClient(n, self, random.Random(seed * 1000 + n)) for n in range(clients)
        ]

    def start(self, number):
        vm = FleetVm(number, self.network, self.store, "zone-a")
        vm.daemon.view._formats = msgspec.structs.replace(
            vm.daemon.view._formats, decode_config=decode_routes
        )
        vm.daemon.start()
        vm.number, vm.stopping = number, False
        vm.incarnation = len(self.restarts)
        self.vms[number] = vm
        self.exits.callback(vm.daemon.close)
        self.restarts.append(CLOCK.now())
        self.started.append(vm)

    def lost_routes(self):
        """Return the requests whose carrier did not know the route of the first VM."""
        return [
            line
            for vm in self.started
            for line in vm.lines("refuse-relayed")
            if line[2] == "no-route"
        ]

    def balance(self, rng):
        """Return a VM that the balancer would choose, or None."""
        ready = [
            vm
            for vm in self.vms.values()
            if not vm.stopping and vm.daemon.view.config is not None
        ]
        return rng.choice(ready) if ready else None

    def stop(self, number):
        """Stop a VM as planned, then start it again."""
        vm = self.vms[number]
        vm.stopping = True
        started = CLOCK.now()
        cut = vm.daemon.stop()
        self.stops.append((vm.name, started, CLOCK.now(), cut))
        self.start(number)

    def kill(self, number):
        """End a VM without notice, then start it again."""
        vm = self.vms[number]
        vm.stopping = True
        self.kills.append((vm.name, CLOCK.now()))
        vm.daemon.close()
        gevent.sleep(0.3)
        self.start(number)

    def cut(self, number):
        """Cut a VM off from all targets for some seconds."""
        vm = self.vms[number]
        vm.cut = self.rng.choice(["refused", "hang"])
        gevent.sleep(self.rng.uniform(1.0, 3.0))
        vm.cut = ""

    def add_route(self):
        """Write a version that adds two routes."""
        self.version += 1
        self.store.operate("config", b"%d" % self.version)

    def limit(self):
        """Let a target name a limit, or end the one that it names."""
        target = self.rng.choice(self.targets)
        target.name_limit(
            self.rng.choice([0.5, 1.0, 3.0]) if target.limit is None else None
        )

    def drill(self):
        """Let the store go away, and come back from a copy some seconds old."""
        copy = self.store.copy()
        gevent.sleep(self.rng.uniform(0.2, 3.0))
        self.store.down = True
        gevent.sleep(self.rng.uniform(0.1, 1.5))
        self.store.come_back(copy)
        self.store.down = False

    def play(self, seconds):
        """Send requests beside overlapping faults, and return all exchanges."""
        running = [gevent.spawn(client.run) for client in self.clients]
        end = CLOCK.now() + seconds
        faults = []
        while CLOCK.now() < end:
            gevent.sleep(self.rng.uniform(0.2, 1.0))
            free = [n for n, vm in self.vms.items() if not vm.stopping and not vm.cut]
            kind = self.rng.choice(KINDS)
            if kind in ("limit", "add_route"):
                getattr(self, kind)()
            elif kind == "drill":
                faults.append(gevent.spawn(self.drill))
            elif len(free) > 1:
                faults.append(gevent.spawn(getattr(self, kind), self.rng.choice(free)))
        gevent.joinall(faults, raise_error=True)
        self.over = True
        gevent.joinall(running, raise_error=True)
        return [e for client in self.clients for e in client.exchanges]

    def was_killed(self, exchange):
        """Return whether a VM ended without notice while it had the request."""
        return any(
            exchange.sent_at - 1.0 <= at <= exchange.ended_at + 1.0
            for _, at in self.kills
        )

    def excuses_stop(self, exchange):
        """Return whether the end of a planned stop may have cut the request."""
        return any(
            name == exchange.vm
            and started <= exchange.ended_at
            and abs(ended - exchange.ended_at) <= STOP_EXCUSED_S
            for name, started, ended, _ in self.stops
        )
