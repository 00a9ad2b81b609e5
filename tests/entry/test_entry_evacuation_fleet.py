"""Tests of evacuations over several daemons that follow a store which may go back."""

from types import SimpleNamespace
from unittest.mock import patch

import pytest
from entry_helper import MISSING_GRACE_S, Network, route
from era_helper import EraFleet
from evacuation_helper import DOMAINS, EVACUATE_S, Picker, targets_in
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lacewingpond.entry.model.config_position import ConfigPosition
from lacewingpond.util.clock import ManualClock

SETTLE_S = 6.0
END_S = EVACUATE_S + MISSING_GRACE_S  # a key that the store may have lost is kept
EVACUATED = ("zone-a", "zone-b")
REQUEST = SimpleNamespace(
    route=route(), service="svc", config=ConfigPosition(1), priority=0, workspace=""
)


class EvacuationFleet:
    """Daemons with the targets that they pick, and what operators have asked for."""

    def __init__(self, clock, size=3):
        self.clock = clock
        self.era = EraFleet(size, Network(), clock)
        for target in targets_in():
            self.era.put_target(target)
        self.pickers = [Picker(each.vm) for each in self.era.vms]
        self.reaches_store = [True] * size
        self.reaches_peers = [True] * size
        self.hears_since = [clock.now()] * size
        self.changed_at = {}
        # A listing in a new era is too long for a datagram; the network has no streams.
        self._streams = patch(
            "lacewingpond.entry.follower.fetch_changes", self._fetch_changes
        )
        self._streams.start()
        self.era.run(SETTLE_S)

    def stop(self):
        self._streams.stop()
        self.era.stop()

    def _fetch_changes(self, address, request):
        if address in self.era.network.cut:
            raise ConnectionRefusedError
        (peer,) = (each for each in self.era.vms if each.vm.address == address)
        return peer.follower.changes_for(request)

    @property
    def store(self):
        return self.era.store

    def evacuated(self, domain):
        return self.store.memory.get(f"evacuate/{domain}").ok_value is not None

    def set(self, domain, evacuated):
        """Write or delete the key of a domain."""
        if self.evacuated(domain) == evacuated:
            return
        self.changed_at[domain] = self.clock.now()
        if evacuated:
            self.store.operate(f"evacuate/{domain}", b"{}")
        else:
            self.store.remove(f"evacuate/{domain}")

    def come_back(self, copy):
        before = {domain: self.evacuated(domain) for domain in EVACUATED}
        self.store.come_back(copy)
        for domain in EVACUATED:
            if self.evacuated(domain) != before[domain]:
                self.changed_at[domain] = self.clock.now()

    def connect(self, number, store, peers):
        heard = self.hearing()
        each = self.era.vms[number]
        each.store.unavailable = not store
        (self.era.network.cut.discard if peers else self.era.network.cut.add)(
            each.vm.address
        )
        self.reaches_store[number], self.reaches_peers[number] = store, peers
        for n, hears in enumerate(self.hearing()):
            if hears and not heard[n]:
                self.hears_since[n] = self.clock.now()

    def hearing(self):
        """Return for each VM whether it hears the store, or a peer that does."""
        links = list(zip(self.reaches_store, self.reaches_peers, strict=True))
        teller = any(store and peers for store, peers in links)
        return [store or (peers and teller) for store, peers in links]

    def start(self):
        """Start another daemon, which serves nothing before its first listing."""
        vm = self.era.add(len(self.era.vms) + 1)
        self.pickers.append(Picker(vm.vm))
        self.reaches_store.append(True)
        self.reaches_peers.append(True)
        self.hears_since.append(float("-inf"))

    def bound(self, number, domain, evacuated, bound_s):
        """Return whether a VM must know by now that a domain is in this state."""
        since = self.changed_at.get(domain, float("-inf"))
        return (
            self.hearing()[number]
            and self.evacuated(domain) == evacuated
            and self.clock.now() > max(since, self.hears_since[number]) + bound_s
        )

    def check(self):
        for number, picker in enumerate(self.pickers):
            late = {d for d in EVACUATED if self.bound(number, d, True, EVACUATE_S)}
            assert not late & picker.domains()
            again = {d for d in EVACUATED if self.bound(number, d, False, END_S)}
            if picker.vm.view.targets:
                assert not again & set(picker.vm.view.evacuations.domains)


@pytest.fixture
def fleet(clock):
    fleet = EvacuationFleet(clock)
    yield fleet
    fleet.stop()


# Guards against a store that lost the key ending the evacuation before its grace, and
# against one that holds for ever.
@pytest.mark.parametrize("written_again", [False, True])
def test_copy_that_lacks_the_key(fleet, written_again):
    copy = fleet.store.copy()
    fleet.set("zone-a", True)
    fleet.era.run(EVACUATE_S)
    fleet.come_back(copy)
    fleet.era.run(1.0)
    assert not any("zone-a" in each.domains(count=60) for each in fleet.pickers)
    if written_again:
        fleet.set("zone-a", True)
    fleet.era.run(END_S)
    used = ["zone-a" in each.domains(count=60) for each in fleet.pickers]
    assert used == [not written_again] * 3


# Guards against an operator's key in the store that some VMs ignore as withdrawn.
def test_copy_that_still_has_the_key_evacuates_until_it_is_deleted_again(fleet):
    fleet.set("zone-a", True)
    fleet.era.run(EVACUATE_S)
    copy = fleet.store.copy()
    fleet.set("zone-a", False)
    fleet.era.run(END_S)
    fleet.come_back(copy)
    fleet.era.run(EVACUATE_S)
    assert not any("zone-a" in each.domains(count=60) for each in fleet.pickers)
    fleet.set("zone-a", False)
    fleet.era.run(END_S)
    assert all("zone-a" in each.domains(count=60) for each in fleet.pickers)


# Guards against VMs cut from the store that go on sending to the domain.
def test_vm_cut_from_the_store_learns_from_peers_and_without_them_keeps_all(fleet):
    fleet.connect(0, store=False, peers=True)
    fleet.set("zone-a", True)
    fleet.era.run(EVACUATE_S)
    assert "zone-a" not in fleet.pickers[0].domains(count=60)
    fleet.connect(0, store=False, peers=False)
    fleet.set("zone-a", False)
    fleet.era.run(END_S)
    assert "zone-a" not in fleet.pickers[0].domains(count=60)


# Guards against a VM that serves before it knows of a running evacuation.
def test_vm_that_starts_picks_nothing_of_the_domain(fleet):
    fleet.set("zone-a", True)
    fleet.start()
    for _ in range(40):
        fleet.era.run(0.05)
        assert "zone-a" not in fleet.pickers[-1].domains()
    assert fleet.pickers[-1].domains()


# Guards against a relayed request that its carrier, or its sender, knows not to send.
@pytest.mark.parametrize(("sender", "carrier"), [(0, 1), (1, 0)])
def test_relayed_request_avoids_what_either_vm_knows(fleet, sender, carrier):
    fleet.connect(0, store=False, peers=False)
    fleet.era.run(1.0)  # a watch that has begun would still tell
    fleet.set("zone-a", True)
    fleet.era.run(EVACUATE_S)
    assert "zone-a" in fleet.pickers[0].domains(count=60)
    relayed = fleet.pickers[carrier].domains_for(fleet.pickers[sender], REQUEST)
    assert relayed
    assert "zone-a" not in relayed


class EvacuationMachine(RuleBasedStateMachine):
    """Operators and losses of the store, beside VMs that start, are cut and relay."""

    @initialize()
    def begin(self):
        self.clock = ManualClock()
        self.fleet = EvacuationFleet(self.clock)
        self.copies = [self.fleet.store.copy()]

    @rule(domain=st.sampled_from(EVACUATED), evacuated=st.booleans())
    def operate(self, domain, evacuated):
        self.fleet.set(domain, evacuated)

    @rule()
    def copy(self):
        self.copies.append(self.fleet.store.copy())

    @rule(index=st.integers(0, 3))
    def lose(self, index):
        self.fleet.come_back(self.copies[min(index, len(self.copies) - 1)])
        self.copies = [self.fleet.store.copy()]

    @rule(number=st.integers(0, 2), store=st.booleans(), peers=st.booleans())
    def connect(self, number, store, peers):
        self.fleet.connect(number, store, peers)

    @rule()
    def start(self):
        if len(self.fleet.pickers) < 5:
            self.fleet.start()

    @rule(sender=st.integers(0, 2), carrier=st.integers(0, 2))
    def relay(self, sender, carrier):
        pickers = self.fleet.pickers
        known = {
            *pickers[sender].vm.view.evacuations.domains,
            *pickers[carrier].vm.view.evacuations.domains,
        }
        assert not known & pickers[carrier].domains_for(pickers[sender], REQUEST)

    @rule(seconds=st.sampled_from([0.1, 1.0, EVACUATE_S]))
    def wait(self, seconds):
        for _ in range(max(round(seconds / 0.5), 1)):
            self.fleet.era.run(min(seconds, 0.5))
            self.fleet.check()

    @invariant()
    def evacuated_domains_get_nothing(self):
        if hasattr(self, "fleet"):
            self.fleet.check()

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        try:
            for number in range(3):
                fleet.connect(number, True, True)
            for domain in EVACUATED:
                fleet.set(domain, True)
                fleet.set(domain, False)
            fleet.era.run(END_S + SETTLE_S)
            fleet.check()
            for picker in fleet.pickers:
                assert picker.domains(count=200) == set(DOMAINS)
        finally:
            fleet.stop()


EvacuationMachine.TestCase.settings = settings(max_examples=30, stateful_step_count=20)
TestEvacuations = EvacuationMachine.TestCase
