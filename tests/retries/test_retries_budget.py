"""Tests of the retry budget and of which attempts may be retried."""

import pytest

from lacewingpond.config.model import Route
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.retries.decision import may_retry
from lacewingpond.retries.options import RetryOptions
from lacewingpond.retries.outcome import SendOutcome


def test_retries_stay_within_the_share_when_all_attempts_fail():
    options = RetryOptions(share=0.1, first=3.0, reserve=10.0)
    budget = RetryBudget.from_options(options)
    retries = 0
    for _ in range(1000):
        budget.earn("ledger")
        while budget.spend("ledger"):
            retries += 1
    assert 93 <= retries <= 103


def test_reserve_is_bounded():
    budget = RetryBudget(RetryOptions(share=0.1, reserve=3.0))
    for _ in range(1000):
        budget.earn("ledger")
    assert [budget.spend("ledger") for _ in range(4)] == [True, True, True, False]


# Load pattern: overload in which requests of all classes fail. Guards against less
# urgent requests that use up the retries of urgent ones.
@pytest.mark.parametrize(("reserve", "left"), [(10.0, 5), (3.0, 2), (1.6, 0)])
def test_last_half_of_the_balance_is_left_to_the_most_urgent_class(reserve, left):
    budget = RetryBudget(RetryOptions(first=reserve, reserve=reserve))
    budget.earn("svc")
    assert budget.can_spend("svc", most_urgent=False)
    while budget.can_spend("svc", most_urgent=False):
        budget.spend("svc")
    spent = 0
    while budget.can_spend("svc"):
        spent += budget.spend("svc")
    assert spent == left


def test_services_beyond_the_maximum_get_no_retries():
    budget = RetryBudget(RetryOptions(share=1.0, first=0.0, max_services=1))
    budget.earn("a")
    budget.earn("b")
    assert (budget.spend("a"), budget.spend("b")) == (True, False)


@pytest.mark.parametrize(
    ("method", "outcome", "expected"),
    [
        ("POST", SendOutcome.NOT_SENT, True),
        ("POST", SendOutcome.PROVED_NOT_RUN, True),
        ("POST", SendOutcome.NO_RESPONSE, False),
        ("POST", SendOutcome.SERVER_ERROR, False),
        ("GET", SendOutcome.NO_RESPONSE, True),
        ("GET", SendOutcome.SERVER_ERROR, True),
        ("GET", SendOutcome.ANSWERED, False),
        ("GET", SendOutcome.PARTLY_FORWARDED, False),
    ],
)
def test_only_safe_attempts_are_retried(method, outcome, expected):
    assert may_retry(Route("r", "s"), method, outcome) is expected
