"""Tests of the order of the reasons for which a target gets no or few requests."""

import itertools

import pytest

from lacewingpond.entry.targets.eligibility import (
    Eligibility,
    best_available,
    eligibility,
)

STATES = ("leaving", "evacuated", "paused", "limited", "unreachable", "ejected")
ELIGIBLE, EJECTED = Eligibility.ELIGIBLE, Eligibility.EJECTED
UNREACHABLE, LIMITED = Eligibility.UNREACHABLE, Eligibility.LIMITED
PAUSED, LEAVING = Eligibility.PAUSED, Eligibility.LEAVING
EVACUATED = Eligibility.EVACUATED
NEVER = (LIMITED, PAUSED, EVACUATED, LEAVING)


@pytest.mark.parametrize(
    "holds", list(itertools.product((False, True), repeat=len(STATES))), ids=str
)
def test_strictest_state_holds(holds):
    found = eligibility(**dict(zip(STATES, holds, strict=True)))
    names = [name for name, held in zip(STATES, holds, strict=True) if held]
    assert found.name.lower() == (names[0] if names else "eligible")


@pytest.mark.parametrize(
    ("states", "retryable", "expected"),
    [
        ((ELIGIBLE,), False, {ELIGIBLE}),
        ((ELIGIBLE, EJECTED), False, {ELIGIBLE}),
        ((ELIGIBLE, EJECTED), True, {ELIGIBLE, EJECTED}),
        ((ELIGIBLE, UNREACHABLE), True, {ELIGIBLE, EJECTED}),
        ((EJECTED, UNREACHABLE), False, {EJECTED}),
        ((EJECTED, PAUSED), True, {EJECTED}),
        ((UNREACHABLE, LIMITED), False, {UNREACHABLE}),
        ((), True, set()),
        (NEVER, True, set()),
        (NEVER, False, set()),
    ],
)
def test_targets_that_may_be_picked(states, retryable, expected):
    assert best_available(states, retryable) == expected


@pytest.mark.parametrize("state", NEVER)
@pytest.mark.parametrize("others", list(itertools.combinations(Eligibility, 2)))
@pytest.mark.parametrize("retryable", [False, True])
def test_target_that_wants_no_requests_is_never_available(state, others, retryable):
    assert state not in best_available((state, *others), retryable)
