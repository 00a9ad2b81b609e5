"""Targets in several failure domains, and what VMs that follow a store pick of them."""

import random
from types import SimpleNamespace

from entry_helper import entry_target, statements_of
from msgspec.structs import replace

from lacewingpond.entry.relay.decision import decider, parse_decision
from lacewingpond.entry.targets.placer import EntryPlacer
from lacewingpond.entry.targets.table import TargetTable

EVACUATE_S = 5.0  # the users' bound, from the write of the key
DOMAINS = ("zone-a", "zone-b", "zone-c")


def targets_in(domains=DOMAINS, count=2):
    """Return `count` targets in each domain, named by it."""
    return [
        replace(
            entry_target(f"{domain}-{n}", f"127.0.0.{9 + n}:{9000 + i}"),
            failure_domain=domain,
        )
        for i, domain in enumerate(domains)
        for n in range(count)
    ]


class Picker:
    """Picks targets on one VM, for its own requests and for relayed ones."""

    def __init__(self, vm):
        self.vm = vm
        self.closed = []
        client = SimpleNamespace(close_idle=self.closed.append)
        self.table = TargetTable(vm.view, client, vm.clock)
        self.table._update()
        _, self.statements = statements_of(vm)
        rng = random.Random(1)
        self.placer = EntryPlacer(self.table, self.statements, vm.fleet, vm.clock, rng)
        self._decide = decider(vm.name, self.table, vm.freshness, self.statements)

    def domains(self, excluded=(), count=12):
        """Return the failure domains of some picks, retryable or not."""
        picks = [self.placer.pick("svc", excluded, n % 2) for n in range(count)]
        return {state.spec.failure_domain for state in picks if state is not None}

    def domains_for(self, sender, request):
        """Return the domains of picks for a request that another VM relays."""
        decision = parse_decision(sender._decide(request).encode()).unwrap()
        ready = (state.spec for state in self.table.ready("svc"))
        return self.domains(decision.excluded(ready))
