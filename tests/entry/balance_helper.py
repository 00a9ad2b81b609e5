"""Failure domains with waves of demand on targets with slots, without a network."""

import math
import random
from collections import Counter
from types import SimpleNamespace

import gevent
import msgspec
from entry_helper import Network, Vm, at, entry_target, statements_of

from lacewingpond.entry.balance.domain_balance import DomainBalance
from lacewingpond.entry.balance.reporter import DomainReporter
from lacewingpond.entry.balance.reports import DomainReports
from lacewingpond.entry.peers.protocol import LOADS_VERSION
from lacewingpond.entry.settings import BalanceSettings
from lacewingpond.entry.targets.placer import EntryPlacer
from lacewingpond.entry.targets.reporter import OutcomeReporter
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.store.base import WatchEvent

DOMAINS = ("zone-a", "zone-b", "zone-c")
STEP_S = 0.025
SERVICE_S = 0.5  # mean duration of a request
SLOTS = 6  # of each target
PERIOD_S, SWING = 13.0, 0.55  # of the waves


class BalancedVm:
    """Target table, placer, balance and reporters of one VM."""

    def __init__(self, vm):
        self.vm = vm
        view, clock, log = vm.view, vm.clock, vm.log
        client = SimpleNamespace(close_idle=lambda address: None)
        self.table = TargetTable(view, client, clock)
        self.reports = reports = DomainReports(clock)
        cfg = BalanceSettings(enabled=True)
        self.balance = DomainBalance(cfg, self.table, vm.fleet, reports, clock, log)
        _, statements = statements_of(vm)
        self.placer = EntryPlacer(self.table, statements, vm.fleet, clock, vm.rng)
        self.placer.balance = self.balance
        common = (vm.channel, clock, log)
        self.outcomes = OutcomeReporter(self.table, vm.fleet, *common)
        self.reporter = DomainReporter(self.table, vm.fleet, reports, *common)
        self.reporter.enabled = True
        self.greenlet = None

    def start(self):
        self.outcomes.start()
        self.greenlet = gevent.spawn(self.reporter.run)

    def stop(self):
        self.outcomes.stop()
        self.greenlet.kill()


class BalancedFleet:
    """VMs that send requests of one service, at rates that tests set.

    Parameters
    ----------
    vms, targets : dict of str to int
        How many there are in each failure domain.
    older : str
        Failure domain whose daemons speak an older version of the peer protocol.
    """

    def __init__(self, clock, vms=None, targets=None, seed=1, older=""):
        self.clock = clock
        self.network = Network()
        self.rng = random.Random(seed)
        self.targets = dict.fromkeys(DOMAINS, 20) if targets is None else targets
        sizes = dict.fromkeys(DOMAINS, 3) if vms is None else vms
        names = [(d, n) for d, size in sizes.items() for n in range(size)]
        self.vms = [
            BalancedVm(Vm(f"vm-{d}-{n}", number, self.network, clock, d))
            for number, (d, n) in enumerate(names, 1)
        ]
        for number, each in enumerate(self.vms):
            each.vm.rng.seed(seed * len(self.vms) + number)
            if each.vm.domain == older:
                each.vm.speaks = LOADS_VERSION - 1
                each.reporter.enabled = False
        for each in self.vms:
            for other in self.vms:
                self.put(each, f"members/{other.vm.name}", other.vm.member.encode())
            for domain, n in self.targets.items():
                for number in range(n):
                    self.put_target(each, f"{domain}-t{number}", domain)
        for each in self.vms:
            each.start()
        clock.advance(0.01)
        self.running = []
        self.picked = Counter()  # requests by (domain of the VM, id of the target)
        self.without_target = 0

    def put(self, each, key, value):
        revision = each.vm.cache.position.revision + 1
        each.vm.cache.apply([WatchEvent(key, value, revision)], at(revision))

    def put_target(self, each, target_id, domain):
        spec = entry_target(target_id, f"127.0.0.1:{9000 + len(each.table.all())}")
        spec = msgspec.structs.replace(spec, failure_domain=domain)
        self.put(each, f"targets/{target_id}", msgspec.json.encode(spec))

    def of(self, domain):
        return [each for each in self.vms if each.vm.domain == domain]

    def stop(self):
        for each in self.vms:
            each.stop()

    def run(self, seconds, load, each_second=None):
        """Let requests arrive for `seconds`, and return the loads after each second.

        `load(domain, t)` is what would be in flight per near slot if nothing spilled
        (for a domain without targets, as if it had 20).
        """
        loads = []
        for step in range(round(seconds / STEP_S)):
            now = self.clock.now()
            ended = [r for r in self.running if r[0] <= now]
            self.running = [r for r in self.running if r[0] > now]
            for _, state in ended:
                state.in_flight -= 1
            for domain in {each.vm.domain for each in self.vms}:
                slots = self.targets.get(domain, 0) * SLOTS or 20 * SLOTS
                mean = load(domain, now) * slots * STEP_S / SERVICE_S
                # Binomial, which is nearly Poisson as its probability is small.
                arrivals = sum(self.rng.random() < mean / 100 for _ in range(100))
                for _ in range(arrivals):
                    self.send(self.rng.choice(self.of(domain)))
            self.clock.advance(STEP_S)
            gevent.sleep(0)
            if (step + 1) % round(1.0 / STEP_S) == 0:
                loads.append(self.loads())
                if each_second is not None:
                    each_second()
        return loads

    def send(self, each):
        state = each.placer.pick("svc", (), False)
        if state is None:
            self.without_target += 1
            return
        state.in_flight += 1
        self.picked[each.vm.domain, state.spec.target_id] += 1
        duration = self.rng.uniform(0.5, 1.5) * SERVICE_S
        self.running.append((self.clock.now() + duration, state))

    def loads(self):
        """Return the requests in flight per slot of each domain's targets."""
        counts = Counter(state.spec.failure_domain for _, state in self.running)
        return {d: counts[d] / (n * SLOTS) for d, n in self.targets.items() if n}

    def mean_loads(self, seconds, load):
        """Run and return the loads of the domains' targets, averaged over seconds."""
        loads = self.run(seconds, load)
        return {d: sum(each[d] for each in loads) / len(loads) for d in loads[0]}

    def far_share(self):
        """Return the part of the requests so far that went to other domains."""
        far = sum(n for (d, t), n in self.picked.items() if not t.startswith(d))
        return far / max(sum(self.picked.values()), 1)

    def shares(self, domain):
        """Return the spilled share at each VM of a domain."""
        return [each.balance.spilled_share("svc") for each in self.of(domain)]


def anti_phase(mean):
    """Return waves of demand that are shifted by a third of their period each."""

    def load(domain, now):
        phase = now / PERIOD_S + DOMAINS.index(domain) / len(DOMAINS)
        return mean * (1.0 + SWING * math.sin(2.0 * math.pi * phase))

    return load
