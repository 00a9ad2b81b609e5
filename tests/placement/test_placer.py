"""Tests of the choice of a target."""

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


class Bench:
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

    def chosen(self, count=300, exclude=frozenset()):
        names = Counter()
        for _ in range(count):
            placement = self.placer.pick("s", exclude).unwrap()
            names[placement.target.target_id] += 1
            placement.done(None)
        return names


def test_draining_and_excluded_targets_get_nothing(clock):
    group = targets(4)
    draining = msgspec.structs.replace(group[0], draining=True)
    bench = Bench(clock, Service("s", (draining, *group[1:])))
    assert set(bench.chosen(exclude=frozenset({"t1"}))) == {"t2", "t3"}


def test_ejections_stop_at_the_floor(clock):
    bench = Bench(clock, Service("s", targets(4), floor=0.5))
    bench.verdicts.by_target = {f"t{i}": EJECTED for i in range(3)}
    assert len(bench.chosen()) == 2


def test_a_draining_verdict_holds_below_the_floor(clock):
    bench = Bench(clock, Service("s", targets(2), floor=1.0))
    bench.verdicts.by_target = {"t0": Verdict(VerdictState.DRAINING, 0.0)}
    assert set(bench.chosen()) == {"t1"}


def test_all_ejected_and_no_floor_leaves_one(clock):
    bench = Bench(clock, Service("s", targets(2), floor=0.0))
    bench.verdicts.by_target = {"t0": EJECTED, "t1": EJECTED}
    assert len(bench.chosen()) == 1


def test_busy_targets_are_avoided(clock):
    bench = Bench(clock, Service("s", targets(2)))
    held = [bench.placer.pick("s").unwrap() for _ in range(6)]
    assert Counter(p.target.target_id for p in held) == {"t0": 3, "t1": 3}


def test_reported_load_counts_until_it_is_old(clock):
    bench = Bench(clock, Service("s", targets(2)))
    while (placement := bench.placer.pick("s").unwrap()).target.target_id != "t0":
        placement.done(None)
    placement.done(6.0)
    assert bench.chosen(200)["t0"] < 20
    clock.advance(10.0)
    assert bench.chosen(200)["t0"] > 50


def answer(bench, target_id, seconds):
    others = frozenset(f"t{i}" for i in range(3)) - {target_id}
    placement = bench.placer.pick("s", others).unwrap()
    bench.clock.advance(seconds)
    placement.done(1.0)


def test_one_long_answer_does_not_mark_a_target(clock):
    bench = Bench(clock, Service("s", targets(2)))
    for _ in range(10):
        answer(bench, "t0", 0.05)
        answer(bench, "t1", 0.05)
    answer(bench, "t0", 60.0)
    clock.advance(5.0)
    assert bench.chosen(200)["t0"] > 50


def test_a_target_that_lags_is_avoided_for_a_while(clock):
    bench = Bench(clock, Service("s", targets(3)))
    for _ in range(10):
        for target_id, seconds in (("t0", 0.2), ("t1", 0.05), ("t2", 0.05)):
            answer(bench, target_id, seconds)
    assert bench.chosen(300)["t0"] == 0
    clock.advance(10.0)
    assert bench.chosen(300)["t0"] > 50


def test_same_failure_domain_is_preferred(clock):
    near, far = targets(2), Target("far", "10.0.1.1:80", "b")
    bench = Bench(clock, Service("s", (*near, far)))
    names = bench.chosen()
    assert names["far"] < min(names["t0"], names["t1"]) / 2


def test_slow_start_gets_its_share(clock):
    bench = Bench(clock, Service("s", targets(4)))
    bench.verdicts.by_target = {"t0": Verdict(VerdictState.SLOW_START, 0.1)}
    assert 0 < bench.chosen(2000)["t0"] < 150


def test_subset_is_stable_and_spread(clock):
    service = Service("s", targets(50))
    users = Counter()
    for number in range(200):
        bench = Bench(clock, service, f"vm{number}")
        subset = bench.placer._services["s"].subset
        assert len(subset) == 16
        users.update(target.target_id for target in subset)
    assert len(users) == 50
    assert max(users.values()) < 2 * min(users.values())


def test_connection_share_is_this_vms_part(clock):
    bench = Bench(clock, Service("s", targets(6), connections_per_target=360))
    assert bench.placer.connection_share("s") == 9
    bench.placer.set_fleet_size(1700)
    assert bench.placer.connection_share("s") == 1


@pytest.mark.parametrize(
    ("service", "failure"),
    [("x", PlacementFailure.UNKNOWN_SERVICE), ("s", PlacementFailure.NO_TARGET)],
)
def test_failures_are_told_apart(clock, service, failure):
    bench = Bench(clock, Service("s"))
    assert bench.placer.pick(service).unwrap_err().failure is failure
