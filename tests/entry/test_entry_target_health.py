"""Tests of when a target counts as sick."""

import pytest

from lacewingpond.entry.targets.health import (
    BROKEN_BLAME,
    EJECT_S,
    ERROR_BLAME,
    LATE_BLAME,
    REPEAT_S,
    Standing,
    Suspicion,
)


def test_one_broken_connection_ejects():
    suspicion = Suspicion()
    assert suspicion.add(0.0, 0, BROKEN_BLAME, 0)
    assert suspicion.standing(0.1) is Standing.EJECTED


def test_one_error_in_a_hundred_does_not_eject():
    suspicion = Suspicion()
    for number in range(300):
        blame = ERROR_BLAME if number % 100 == 50 else 0.0
        assert not suspicion.add(float(number), int(not blame), blame, 0)


@pytest.mark.parametrize("share", [0.4, 0.6, 0.75])
def test_gray_failure_ejects_within_eight_outcomes(share):
    suspicion, failed = Suspicion(), 0.0
    for number in range(8):
        failed += share
        blame = ERROR_BLAME if failed >= 1.0 else 0.0
        failed -= 1.0 if blame else 0.0
        if suspicion.add(float(number), int(not blame), blame, 0):
            return
    raise AssertionError("not ejected")


def test_late_answers_count_half():
    suspicion = Suspicion()
    assert not suspicion.add(0.0, 0, LATE_BLAME * 3, 0)
    assert suspicion.add(0.1, 0, LATE_BLAME, 0)


def test_good_answers_from_before_do_not_end_an_ejection():
    suspicion = Suspicion()
    suspicion.add(0.0, 0, BROKEN_BLAME, 0)
    suspicion.add(0.1, 20, 0.0, 0)
    assert suspicion.standing(0.2) is Standing.EJECTED


def test_passed_trials_end_an_ejection():
    suspicion = Suspicion()
    suspicion.add(0.0, 0, BROKEN_BLAME, 0)
    suspicion.add(0.5, 1, 0.0, 1)
    assert suspicion.standing(0.6) is Standing.EJECTED
    suspicion.add(0.7, 1, 0.0, 1)
    assert suspicion.standing(0.8) is Standing.PROBATION


def test_failure_on_probation_ejects_for_longer():
    suspicion = Suspicion()
    suspicion.add(0.0, 0, BROKEN_BLAME, 0)
    back = EJECT_S + 0.1
    assert suspicion.standing(back) is Standing.PROBATION
    assert suspicion.add(back, 0, ERROR_BLAME, 0)
    assert suspicion.standing(back + REPEAT_S - 0.1) is Standing.EJECTED


def test_good_answers_end_probation():
    suspicion = Suspicion()
    suspicion.add(0.0, 0, BROKEN_BLAME, 0)
    back = EJECT_S + 0.1
    suspicion.standing(back)
    suspicion.add(back, 5, 0.0, 0)
    assert suspicion.standing(back) is Standing.SOUND


def test_ejection_for_want_of_an_answer_counts_from_the_request():
    suspicion = Suspicion()
    age_s = EJECT_S / 2
    assert suspicion.add(100.0, 0, LATE_BLAME * 4, 0, age_s)
    assert suspicion.standing(100.0 + age_s - 0.1) is Standing.EJECTED
    assert suspicion.standing(100.0 + age_s + 0.1) is Standing.PROBATION


def test_evidence_older_than_an_ejection_is_none():
    suspicion = Suspicion()
    assert not suspicion.add(100.0, 0, LATE_BLAME * 4, 0, EJECT_S + 0.1)
    assert suspicion.standing(100.0) is Standing.SOUND


def test_older_evidence_does_not_shorten_an_ejection():
    suspicion = Suspicion()
    suspicion.add(100.0, 0, BROKEN_BLAME, 0)
    suspicion.add(100.1, 0, LATE_BLAME, 0, EJECT_S - 1.0)
    assert suspicion.standing(100.0 + EJECT_S - 0.1) is Standing.EJECTED
