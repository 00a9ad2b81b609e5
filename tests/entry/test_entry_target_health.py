"""Tests of the ejection and the return of a target."""

import pytest

from lacewingpond.entry.targets.health import (
    BROKEN_EVIDENCE,
    EJECTION_S,
    ERROR_EVIDENCE,
    LATE_EVIDENCE,
    REPEAT_EJECTION_S,
    EntryTargetHealth,
    HealthStatus,
)


def test_single_broken_connection_ejects():
    health = EntryTargetHealth()
    assert health.add(0.0, 0, BROKEN_EVIDENCE, 0)
    assert health.status(0.1) is HealthStatus.EJECTED


def test_one_error_in_a_hundred_does_not_eject():
    health = EntryTargetHealth()
    for number in range(300):
        evidence = ERROR_EVIDENCE if number % 100 == 50 else 0.0
        assert not health.add(float(number), int(not evidence), evidence, 0)


@pytest.mark.parametrize("share", [0.4, 0.6, 0.75])
def test_gray_failure_ejects_within_eight_outcomes(share):
    health, failed = EntryTargetHealth(), 0.0
    for number in range(8):
        failed += share
        evidence = ERROR_EVIDENCE if failed >= 1.0 else 0.0
        failed -= 1.0 if evidence else 0.0
        if health.add(float(number), int(not evidence), evidence, 0):
            return
    raise AssertionError("not ejected")


def test_timeouts_count_half_as_much_as_errors():
    health = EntryTargetHealth()
    assert not health.add(0.0, 0, LATE_EVIDENCE * 3, 0)
    assert health.add(0.1, 0, LATE_EVIDENCE, 0)


def test_successes_of_earlier_requests_do_not_end_an_ejection():
    health = EntryTargetHealth()
    health.add(0.0, 0, BROKEN_EVIDENCE, 0)
    health.add(0.1, 20, 0.0, 0)
    assert health.status(0.2) is HealthStatus.EJECTED


def test_trial_successes_end_an_ejection():
    health = EntryTargetHealth()
    health.add(0.0, 0, BROKEN_EVIDENCE, 0)
    health.add(0.5, 1, 0.0, 1)
    assert health.status(0.6) is HealthStatus.EJECTED
    health.add(0.7, 1, 0.0, 1)
    assert health.status(0.8) is HealthStatus.PROBATION


def test_error_on_probation_ejects_again():
    health = EntryTargetHealth()
    health.add(0.0, 0, BROKEN_EVIDENCE, 0)
    after_ejection = EJECTION_S + 0.1
    assert health.status(after_ejection) is HealthStatus.PROBATION
    assert health.add(after_ejection, 0, ERROR_EVIDENCE, 0)
    assert (
        health.status(after_ejection + REPEAT_EJECTION_S - 0.1) is HealthStatus.EJECTED
    )


def test_successes_end_probation():
    health = EntryTargetHealth()
    health.add(0.0, 0, BROKEN_EVIDENCE, 0)
    after_ejection = EJECTION_S + 0.1
    health.status(after_ejection)
    health.add(after_ejection, 5, 0.0, 0)
    assert health.status(after_ejection) is HealthStatus.HEALTHY


def test_ejection_by_timeouts_starts_when_the_requests_were_sent():
    health = EntryTargetHealth()
    age_s = EJECTION_S / 2
    assert health.add(100.0, 0, LATE_EVIDENCE * 4, 0, age_s)
    assert health.status(100.0 + age_s - 0.1) is HealthStatus.EJECTED
    assert health.status(100.0 + age_s + 0.1) is HealthStatus.PROBATION


def test_evidence_older_than_an_ejection_is_ignored():
    health = EntryTargetHealth()
    assert not health.add(100.0, 0, LATE_EVIDENCE * 4, 0, EJECTION_S + 0.1)
    assert health.status(100.0) is HealthStatus.HEALTHY


def test_older_evidence_does_not_shorten_an_ejection():
    health = EntryTargetHealth()
    health.add(100.0, 0, BROKEN_EVIDENCE, 0)
    health.add(100.1, 0, LATE_EVIDENCE, 0, EJECTION_S - 1.0)
    assert health.status(100.0 + EJECTION_S - 0.1) is HealthStatus.EJECTED
