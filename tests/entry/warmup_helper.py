"""A fleet in front of cold targets, some of whose VMs may know other members."""

from types import SimpleNamespace

import msgspec
from entry_helper import at, config, entry_target
from limit_helper import LimitFleet
from result import Ok
from stack_helper import NAMES

from lacewingpond.entry.limits.warmup_checks import WarmupChecks
from lacewingpond.entry.model.service import EntryService
from lacewingpond.http.headers import Headers
from lacewingpond.platform.warmup_header import WarmupDecoder
from lacewingpond.store.base import WatchEvent

RATE, OVERAGE, SLACK = 3.7, 1.5, 8
BOUND = RATE * OVERAGE + SLACK
WARMUP_S = 3.0
BEAT_S = 0.25  # of the messages that running VMs send to one another
WARMUP_HEADER = "X-Warmup"


class WarmupFleet(LimitFleet):
    """VMs and targets, of which `t0` is cold for `warmup_s` after `turn_cold`.

    VMs in `stale` see no changes of the members.
    """

    def __init__(self, clock, vms=12, targets=3, rate=RATE, speaks=None):
        super().__init__(clock, vms, targets)
        self.lost, self.stale = set(), set()
        self.incarnation, self.writes = 0, 0
        self.cold_arrivals, self.cold_until = [], float("-inf")
        self.members = {vm.name: vm for vm in self.vms}
        self._beat_at = float("-inf")
        for number, version in (speaks or {}).items():
            self.vms[number].speaks = version
            self.put(f"members/vm-{number + 1}", self.vms[number].member.encode())
        service = EntryService("svc", warmup_s=WARMUP_S, warmup_rate=rate)
        for vm in self.vms:
            vm.view.config = msgspec.structs.replace(
                config(), services={"svc": service}
            )

    def turn_cold(self, warmup_s=WARMUP_S, restart=False):
        """Write the entry of `t0` as cold, of its next incarnation if `restart`."""
        if restart:
            self.incarnation += 1
            self.cold_arrivals, self.cold_until = [], float("-inf")
        # The entry of a target states all of the time for which it stays cold.
        warmup_s = max(warmup_s, self.cold_until - self.clock.now())
        self.cold_until = self.clock.now() + warmup_s
        for left_s in (0.0, warmup_s):
            spec = entry_target(
                "t0",
                "127.0.0.1:9000",
                warmup_left_s=left_s,
                incarnation=self.incarnation,
            )
            self.put("targets/t0", msgspec.json.encode(spec))

    def set_member(self, number, listed):
        """List or remove a member, on the VMs that see changes."""
        vm = self.vms[number]
        self.members[vm.name] = vm if listed else None
        value = vm.member.encode() if listed else None
        for each in self.vms:
            if each.name not in self.stale:
                _apply(each, f"members/{vm.name}", value)

    def update_views(self):
        """Show the present members to all VMs."""
        self.stale.clear()
        for each in self.vms:
            for name, vm in self.members.items():
                _apply(each, f"members/{name}", vm.member.encode() if vm else None)

    def shares(self, number=0):
        return self.daemons[number].context.limiter.warmup._shares

    def holder(self, number=0):
        """Return the index of the VM that holds the bucket by the view of a VM."""
        return int(self.ranked(number)[0].removeprefix("vm-")) - 1

    def ranked(self, number=0):
        return self.shares(number).ranked(f"cold/t0/{self.incarnation}")

    def serve(self, seconds, per_s, busy=None, busy_ratio=0.3):
        """Deliver requests through random running VMs, `busy_ratio` through `busy`."""
        running = [n for n in range(len(self.vms)) if n not in self.lost]
        for _ in range(round(seconds * per_s)):
            self._beat()
            number = self.rng.choice(running) if running else None
            if busy is not None and self.rng.random() < busy_ratio:
                number = busy
            if number is not None:
                self._deliver(number)
            self.clock.advance(1.0 / per_s)

    def most_in_a_second(self):
        """Return the most requests that `t0` got in any second while it was cold."""
        times = self.cold_arrivals
        return max(
            (sum(start <= at < start + 1.0 for at in times) for start in times),
            default=0,
        )

    def _deliver(self, number):
        before = len(self.targets.arrivals)
        self.outcomes.append(self.daemons[number].deliver(len(self.outcomes)))
        self.cold_arrivals += [
            arrived_at
            for arrived_at, target_id, _ in self.targets.arrivals[before:]
            if target_id == "t0" and arrived_at < self.cold_until
        ]

    def _beat(self):
        if self.clock.now() - self._beat_at < BEAT_S:
            return
        self._beat_at = self.clock.now()
        up = [vm for vm in self.vms if vm.address not in self.network.cut]
        for vm in up:
            for peer in up:
                if peer is not vm:
                    vm.fleet.record_message(peer.address)


class HealthPaths:
    """Answers health checks of targets that are cold for `left_ms` more."""

    def __init__(self, clock, left_ms):
        self.clock, self.left_ms, self.checks = clock, left_ms, []

    def checks_of(self, fleet, number):
        """Return the health checks that a VM makes."""
        daemon, vm = fleet.daemons[number], fleet.vms[number]
        return WarmupChecks(
            NAMES,
            WarmupDecoder(WARMUP_HEADER).decode,
            daemon.context.limiter.warmup,
            daemon.table,
            vm.view,
            SimpleNamespace(send=self._send),
            self.clock,
            vm.log,
        )

    def most_in_a_second(self):
        times = self.checks
        return max(sum(start <= at < start + 1.0 for at in times) for start in times)

    def _send(self, target, request, deadline):
        self.checks.append(self.clock.now())
        headers = Headers(((WARMUP_HEADER, str(self.left_ms)),))
        return Ok(SimpleNamespace(status=200, headers=headers, close=lambda: None))


def _apply(vm, key, value):
    revision = vm.cache.position.revision + 1
    vm.cache.apply([WatchEvent(key, value, revision)], at(revision))
