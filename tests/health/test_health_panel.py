"""Tests of VMs off the panel, which report suspected targets only."""

import random

from reporter_fleet import Fleet, healthy

from lacewingpond.health.messages import TargetRecord
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.tally import Tally
from lacewingpond.health.unsent import MAX_UNSENT_AGE_S, UnsentOutcomes
from lacewingpond.health.verdict import VerdictState

SMALL_PANEL = HealthOptions(panel_size=2, fleet_size=16)


def record(target, *outcomes):
    tally = Tally()
    for outcome in outcomes:
        tally.add(outcome, 0.01)
    return TargetRecord(target, tally.packed())


def test_successes_are_reported_with_the_failure_that_follows():
    unsent = UnsentOutcomes(0.0)
    unsent.add(1.0, [record(1, Outcome.OK), record(2, Outcome.OK)])
    unsent.add(2.0, [record(1, Outcome.ERROR)])
    (sent,) = unsent.take(frozenset({1}))
    tally = Tally.from_packed(sent.counts)
    assert (tally.ok_count(), tally.count_of(Outcome.ERROR)) == (1, 1)
    assert unsent.take(frozenset({1})) == ()


def test_draining_answer_is_reported_at_once_and_old_outcomes_are_dropped():
    unsent = UnsentOutcomes(0.0)
    unsent.add(1.0, [record(1, Outcome.OK), record(2, Outcome.DRAINING)])
    assert [r.target for r in unsent.take(frozenset())] == [2]
    unsent.add(MAX_UNSENT_AGE_S + 1.0, [])
    assert unsent.take(frozenset({1})) == ()


def test_small_panel_ejects_a_failing_target(clock):
    fleet = Fleet(clock, size=16, options=SMALL_PANEL)
    rng = random.Random(2)

    def half(index, target_id):
        failed = target_id == "t1" and rng.random() < 0.5
        return (Outcome.ERROR if failed else Outcome.OK), 0.02

    fleet.run(5, healthy)
    assert fleet.ejections() == set()
    fleet.run(8, half)
    assert fleet.ejections() == {"t1"}
    assert fleet.states("t1") == {VerdictState.EJECTED}


def test_one_bad_link_with_a_small_panel_ejects_nothing(clock):
    fleet = Fleet(clock, size=16, options=SMALL_PANEL)

    def bad_link(index, target_id):
        failed = index == 3 and target_id == "t1"
        return (Outcome.TIMEOUT if failed else Outcome.OK), 0.02

    fleet.run(40, bad_link)
    assert fleet.ejections() == set()
    assert not any(vm.uses_local_verdicts("ledger") for vm in fleet.vms)
