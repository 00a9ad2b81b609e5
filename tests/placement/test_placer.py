"""Tests of load balancing over targets."""

import random
from collections import Counter

import msgspec
import pytest

from lacewingpond.config.model import Config, Service, Target
from lacewingpond.health.verdict import HEALTHY, Verdict, VerdictState
from lacewingpond.placement.errors import PlacementFailure
from lacewingpond.placement.options import PlacementOptions
from lacewingpond.placement.placer import Placer
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog

EJECTED = Verdict(VerdictState.EJECTED, 0.0)


class FixedVerdicts:
    def __init__(self):
        self.by_target = {}

    def verdict(self, service, target_id):
        return self.by_target.get(target_id, HEALTHY)


def targets(count, domain="a"):
    return tuple(Target(f"t{i}", f"10.0.0.{i}:80", domain) for i in range(count))


class PlacerHarness:
    def __init__(self, clock, service, vm_id="vm1"):
        self.clock = clock
        self.verdicts = FixedVerdicts()
        self.placer = Placer.from_options(
            PlacementOptions(),
            vm_id,
            "a",
            clock,
            random.Random(3),
            self.verdicts,
            NullDecisionLog(),
            CountingMetrics(),
        )
        self.placer.configure(Config(services=(service,)))

    def choose_many(self, count=300, exclude=frozenset()):
        """Place `count` requests and return the number placed at each target."""
        names = Counter()
        for _ in range(count):
            placement = self.placer.pick("s", exclude).unwrap()
            names[placement.target.target_id] += 1
            placement.done(None)
        return names


def test_draining_and_excluded_targets_get_no_requests(clock):
    group = targets(4)
    draining = msgspec.structs.replace(group[0], draining=True)
    harness = PlacerHarness(clock, Service("s", (draining, *group[1:])))
    assert set(harness.choose_many(exclude=frozenset({"t1"}))) == {"t2", "t3"}


def test_ejections_stop_at_the_floor(clock):
    harness = PlacerHarness(clock, Service("s", targets(4), floor=0.5))
    harness.verdicts.by_target = {f"t{i}": EJECTED for i in range(3)}
    assert len(harness.choose_many()) == 2


def test_draining_verdict_is_applied_even_below_the_floor(clock):
    harness = PlacerHarness(clock, Service("s", targets(2), floor=1.0))
    harness.verdicts.by_target = {"t0": Verdict(VerdictState.DRAINING, 0.0)}
    assert set(harness.choose_many()) == {"t1"}


def test_one_target_stays_in_use_when_all_are_ejected_without_a_floor(clock):
    harness = PlacerHarness(clock, Service("s", targets(2), floor=0.0))
    harness.verdicts.by_target = {"t0": EJECTED, "t1": EJECTED}
    assert len(harness.choose_many()) == 1


def test_busy_targets_are_avoided(clock):
    harness = PlacerHarness(clock, Service("s", targets(2)))
    placements = [harness.placer.pick("s").unwrap() for _ in range(6)]
    assert Counter(p.target.target_id for p in placements) == {"t0": 3, "t1": 3}


def test_reported_load_counts_until_it_has_decayed(clock):
    harness = PlacerHarness(clock, Service("s", targets(2)))
    while (placement := harness.placer.pick("s").unwrap()).target.target_id != "t0":
        placement.done(None)
    placement.done(6.0)
    assert harness.choose_many(200)["t0"] < 20
    clock.advance(10.0)
    assert harness.choose_many(200)["t0"] > 50


def respond(harness, target_id, seconds):
    others = frozenset(f"t{i}" for i in range(3)) - {target_id}
    placement = harness.placer.pick("s", others).unwrap()
    harness.clock.advance(seconds)
    placement.done(1.0)


def test_target_is_not_avoided_after_one_long_response(clock):
    harness = PlacerHarness(clock, Service("s", targets(2)))
    for _ in range(10):
        respond(harness, "t0", 0.05)
        respond(harness, "t1", 0.05)
    respond(harness, "t0", 60.0)
    clock.advance(5.0)
    assert harness.choose_many(200)["t0"] > 50


def test_slow_target_is_avoided_until_its_latency_has_decayed(clock):
    harness = PlacerHarness(clock, Service("s", targets(3)))
    for _ in range(10):
        for target_id, seconds in (("t0", 0.2), ("t1", 0.05), ("t2", 0.05)):
            respond(harness, target_id, seconds)
    assert harness.choose_many(300)["t0"] == 0
    clock.advance(10.0)
    assert harness.choose_many(300)["t0"] > 50


def test_targets_in_the_same_failure_domain_are_preferred(clock):
    near, far = targets(2), Target("far", "10.0.1.1:80", "b")
    harness = PlacerHarness(clock, Service("s", (*near, far)))
    names = harness.choose_many()
    assert names["far"] < min(names["t0"], names["t1"]) / 2


def test_target_in_slow_start_gets_its_share(clock):
    harness = PlacerHarness(clock, Service("s", targets(4)))
    harness.verdicts.by_target = {"t0": Verdict(VerdictState.SLOW_START, 0.1)}
    assert 0 < harness.choose_many(2000)["t0"] < 150


def test_subsets_use_all_targets_evenly(clock):
    service = Service("s", targets(50))
    users = Counter()
    for number in range(200):
        harness = PlacerHarness(clock, service, f"vm{number}")
        subset = harness.placer._services["s"].subset
        assert len(subset) == 16
        users.update(target.target_id for target in subset)
    assert len(users) == 50
    assert max(users.values()) < 2 * min(users.values())


def test_connections_are_divided_by_the_number_of_vms(clock):
    harness = PlacerHarness(clock, Service("s", targets(6), connections_per_target=360))
    assert harness.placer.connection_share("s") == 9
    harness.placer.set_fleet_size(1700)
    assert harness.placer.connection_share("s") == 1


@pytest.mark.parametrize(
    ("service", "failure"),
    [("x", PlacementFailure.UNKNOWN_SERVICE), ("s", PlacementFailure.NO_TARGET)],
)
def test_failure_tells_an_unknown_service_from_one_without_targets(
    clock, service, failure
):
    harness = PlacerHarness(clock, Service("s"))
    assert harness.placer.pick(service).unwrap_err().failure is failure
