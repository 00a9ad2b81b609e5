"""Tests of the balance across failure domains, with waves of demand."""

import itertools
import math
from types import SimpleNamespace

import pytest
from balance_helper import DOMAINS, SLOTS, BalancedFleet, anti_phase

from lacewingpond.entry.admission.base import AdmitAll
from lacewingpond.entry.admission.service_capacity import ServiceCapacity
from lacewingpond.entry.balance.domain_balance import UPDATE_INTERVAL_S
from lacewingpond.entry.balance.reports import REPORT_MAX_AGE_S
from lacewingpond.entry.peers.messages import DomainLoads
from lacewingpond.entry.requests.target_choice import TargetChoice
from lacewingpond.entry.room.rejection_pause import MIN_PAUSE_S
from lacewingpond.entry.targets.health import BROKEN_EVIDENCE
from lacewingpond.entry.targets.placer import TRIAL_INTERVAL_S

FAR_SHARE = 0.05
CREST = {"zone-a": 1.6, "zone-b": 0.5, "zone-c": 0.8}  # requests per near slot


@pytest.fixture
def fleet(make_fleet):
    return make_fleet()


@pytest.fixture
def make_fleet(clock):
    fleets = []

    def make(**options):
        fleets.append(BalancedFleet(clock, **options))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def crest(domain, now):
    return CREST[domain]


def idle(domain, now):
    return 0.3


def far_share_bound(count):
    """Return the stated share with three standard deviations of `count` draws."""
    return FAR_SHARE + 3.0 * math.sqrt(FAR_SHARE * (1.0 - FAR_SHARE) / count)


# Load pattern: anti-phase waves below `spill_from`. Guards against bytes between
# domains while every domain has room.
def test_idle_fleet_sends_nearly_all_requests_to_near_targets(fleet):
    fleet.run(26.0, anti_phase(0.3))
    assert fleet.far_share() <= far_share_bound(sum(fleet.picked.values()))
    used = {target for _, target in fleet.picked}
    assert len(used) >= 0.7 * 60


# Load pattern: a step of one domain to 1.6 times its capacity, while the others are
# idle. Guards against requests that are rejected near while far slots are free, and
# against domains that pass requests back and forth because loads are known late.
def test_loads_are_equal_3_s_after_a_step_and_the_share_settles(fleet):
    fleet.run(4.0, idle)
    fleet.run(3.0, crest)
    loads = fleet.mean_loads(4.0, crest).values()
    assert max(loads) - min(loads) < 0.2
    seconds = []
    fleet.run(12.0, crest, lambda: seconds.append([fleet.shares(d) for d in DOMAINS]))
    for before, after in itertools.pairwise(seconds):
        for old, new in zip(sum(before, []), sum(after, []), strict=True):
            assert abs(new - old) < 0.1
    # Domains below the mean load have no reason to spill.
    assert max(max(shares[1]) for shares in seconds) < 0.1


# Load pattern: anti-phase waves at 0.8 of the capacity. Guards against domains that
# send requests to one another at the same time: bytes that serve nobody.
def test_anti_phase_waves_spill_little_more_than_they_must(fleet):
    fleet.run(5.0, anti_phase(0.8))
    fleet.picked.clear()
    fleet.run(26.0, anti_phase(0.8))
    # The crests exceed the mean by 0.55 / pi of all requests.
    assert fleet.far_share() <= 0.55 / math.pi + 2 * FAR_SHARE


# Load pattern: the end of a crest. Guards against far requests that go on for long.
def test_requests_return_to_near_targets_within_3_s_of_the_crest(fleet):
    fleet.run(8.0, crest)
    fleet.run(3.0, idle)
    fleet.picked.clear()
    fleet.run(5.0, idle)
    assert fleet.far_share() <= far_share_bound(sum(fleet.picked.values()))


# Load pattern: a crest, while reports are lost. Guards against old loads that pass for
# current ones.
def test_load_is_estimated_from_the_own_domain_while_reports_are_lost(fleet, clock):
    fleet.run(5.0, crest)
    each = fleet.of("zone-a")[0]
    measured = sum(CREST.values()) / 3
    assert each.balance.load("svc") == pytest.approx(measured, abs=0.2)
    for other in fleet.vms:
        other.vm.channel.handlers[DomainLoads] = lambda message, sender: None
    fleet.run(REPORT_MAX_AGE_S + 0.5, crest)
    each.balance._measured.clear()
    own = sum(state.load(clock.now()) for state in each.table.all()) / 60
    assert each.balance.load("svc") == pytest.approx(3 * own)
    fleet.picked.clear()
    fleet.run(3.0, idle)
    assert fleet.without_target == 0


def reporters(fleet, domain):
    return [each for each in fleet.of(domain) if each.reporter.is_reporter()]


# Guards against a domain whose load stays unknown after the loss of one VM.
def test_next_vm_reports_within_2500_ms_of_the_loss_of_the_reporter(fleet, clock):
    fleet.run(3.0, idle)
    assert [len(reporters(fleet, domain)) for domain in DOMAINS] == [1, 1, 1]
    lost = reporters(fleet, "zone-a")[0]
    fleet.network.cut.add(lost.vm.address)
    lost.stop()
    left = [each for each in fleet.of("zone-a") if each is not lost]
    for each in left:
        each.vm.channel.sent.clear()
    clock.advance(2.5)
    sent = [m for each in left for _, m in each.vm.channel.sent]
    assert any(isinstance(m, DomainLoads) and m.relay for m in sent)


# Guards against loads that are counted twice while two VMs report.
def test_two_reporters_at_once_are_harmless(fleet):
    fleet.run(3.0, crest)
    for each in fleet.vms:
        # Each takes the others for lost.
        each.vm.fleet._last_seen.clear()
        each.reporter._report(2)
    each = fleet.of("zone-b")[0]
    each.balance._measured.clear()
    measured = sum(fleet.loads().values()) / 3
    assert each.balance.load("svc") == pytest.approx(measured, abs=0.1)


# Load pattern: steady load on a service that lives in one domain alone.
def test_service_in_one_domain_is_served_from_all_domains(make_fleet):
    fleet = make_fleet(targets={"zone-b": 20})
    fleet.run(6.0, idle)
    assert fleet.without_target == 0
    assert {target[:6] for _, target in fleet.picked} == {"zone-b"}


# Load patterns: steady load, one domain without VMs; a crest at a fleet of one VM,
# which has nobody to hear from. Guards against targets that nobody uses because they
# are near to nobody.
@pytest.mark.parametrize(
    ("vms", "load"), [({"zone-a": 3, "zone-b": 3}, 0.6), ({"zone-a": 1}, 1.5)]
)
def test_targets_of_domains_without_vms_get_their_part(make_fleet, vms, load):
    fleet = make_fleet(vms=vms)
    fleet.run(6.0, lambda domain, now: load)
    loads = fleet.mean_loads(6.0, lambda domain, now: load)
    assert max(loads.values()) - min(loads.values()) < 0.2


# Load pattern: all VMs of a domain are killed, and their callers go to the others.
# Guards against targets that stay idle until the entries of the VMs end after 20 s.
def test_targets_of_a_domain_that_lost_its_vms_are_used_soon(fleet):
    fleet.run(4.0, lambda domain, now: 0.6)
    for each in fleet.of("zone-c"):
        fleet.network.cut.add(each.vm.address)
        each.stop()
        fleet.vms.remove(each)
    fleet.run(8.0, lambda domain, now: 0.9)
    loads = fleet.mean_loads(4.0, lambda domain, now: 0.9)
    assert max(loads.values()) - min(loads.values()) < 0.2


# Guards against messages that older daemons can't decode, and against waits for
# reports that they never send.
def test_older_daemons_get_no_reports(make_fleet):
    fleet = make_fleet(older="zone-b")
    fleet.run(4.0, lambda domain, now: 0.6)
    addresses = {each.vm.address for each in fleet.of("zone-b")}
    sent = [entry for each in fleet.vms for entry in each.vm.channel.sent]
    assert not any(isinstance(m, DomainLoads) and to in addresses for to, m in sent)
    load = fleet.of("zone-a")[0].balance.load("svc")
    assert load == pytest.approx(0.6, abs=0.2)


# Load pattern: idle. Guards against a request that fails although another domain has
# untried targets.
def test_other_domains_serve_what_the_drawn_domain_cannot(fleet, clock):
    each = fleet.of("zone-a")[0]
    near = {s.spec.target_id for s in each.table.all() if s.spec.target_id[5] == "a"}
    picked = {each.placer.pick("svc", near, False).spec.target_id for _ in range(50)}
    assert not near & picked
    assert {target[:6] for target in picked} == {"zone-b", "zone-c"}


# Load pattern: all near targets fail at once. Guards against ejected targets that get
# no trials, as their domain has no weight.
def test_ejected_domain_gets_trials_and_other_requests_go_elsewhere(fleet, clock):
    each = fleet.of("zone-a")[0]
    near = [s for s in each.table.all() if s.spec.failure_domain == "zone-a"]
    for state in near:
        state.health.add(clock.now(), 0, BROKEN_EVIDENCE, 0)
    clock.advance(TRIAL_INTERVAL_S)
    picks = [each.placer.pick("svc", (), False) for _ in range(300)]
    assert not any(state in near for state in picks)
    trials = [each.placer.pick("svc", (), True) for _ in range(300)]
    assert sum(state in near for state in trials) == len(near)


# Load pattern: a domain is evacuated under load. Guards against slots that no request
# may use and that make a full service look free, so that requests are admitted and
# hedged although targets reject them.
def test_slots_of_evacuated_domains_do_not_count_as_capacity(fleet):
    for each in fleet.vms:
        fleet.put(each, "evacuate/zone-c", b"{}")
    fleet.run(6.0, lambda domain, now: 0.6)
    each = fleet.of("zone-a")[0]
    assert each.balance.load("svc") == pytest.approx(0.9, abs=0.1)
    capacity = ServiceCapacity(each.placer, each.table, None, each.vm.fleet)
    assert capacity.slots("svc") == 2 * 20 * SLOTS


def test_service_whose_domains_are_all_evacuated_has_no_load(fleet):
    for each in fleet.vms:
        for domain in DOMAINS:
            fleet.put(each, f"evacuate/{domain}", b"{}")
    fleet.run(1.0, idle)
    assert all(each.balance.load("svc") == 0.0 for each in fleet.vms)


# Load pattern: all near targets are full and reject requests. Guards against requests
# that are sent to them during their pauses while far targets accept requests.
def test_paused_near_targets_get_nothing_while_far_targets_are_not_paused(fleet, clock):
    each = fleet.of("zone-a")[0]
    near = [s for s in each.table.all() if s.spec.failure_domain == "zone-a"]
    for state in near:
        state.rejections.start(clock.now(), is_full=True)
    picks = [each.placer.pick("svc", (), n % 2) for n in range(100)]
    assert not any(state in near for state in picks)
    clock.advance(MIN_PAUSE_S)
    assert any(each.placer.pick("svc", (), False) in near for _ in range(20))


# Load pattern: requests that only ejected targets are left for. Guards against a
# spilled share that jumps, as if these targets were all that the service has.
def test_choice_between_ejected_targets_leaves_the_spilled_share(fleet, clock):
    fleet.run(4.0, lambda domain, now: 0.5)
    each = fleet.of("zone-a")[0]
    names = ("zone-a-t0", "zone-b-t0", "zone-b-t1", "zone-b-t2")
    ejected = [each.table.get(name) for name in names]
    for state in ejected:
        state.health.add(clock.now(), 0, BROKEN_EVIDENCE, 0)
    tried = {s.spec.target_id for s in each.table.all() if s not in ejected}
    assert each.placer.pick("svc", tried, True) in ejected
    assert each.balance.spilled_share("svc") < 0.1


# Load pattern: most near targets are full when a request is hedged. Guards against a
# log that names limits which no target has, and against a spilled share that follows
# from the few targets which are fit for a hedge.
def test_targets_that_get_no_hedges_count_neither_as_limited_nor_as_missing(
    fleet, clock
):
    fleet.run(4.0, lambda domain, now: 0.5)
    each = fleet.of("zone-a")[0]
    near = [s for s in each.table.all() if s.spec.failure_domain == "zone-a"]
    unfit = {state.spec.target_id for state in near[:15]}
    request = SimpleNamespace(service="svc", excluded=frozenset())
    limiter = SimpleNamespace(limited=lambda service: set())
    choice = TargetChoice(request, set(), each.placer, limiter, clock, AdmitAll())
    clock.advance(UPDATE_INTERVAL_S)
    picks = [choice.pick_unlimited(unfit=unfit) for _ in range(50)]
    assert not unfit & {state.spec.target_id for state in picks}
    assert choice.passed_over == {}
    assert each.balance.spilled_share("svc") < 0.1
