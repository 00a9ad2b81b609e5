"""Tests of the retry budget."""

import pytest

from lacewingpond.retries.budget import RetryBudget
from lacewingpond.retries.options import RetryOptions


@pytest.fixture
def budget(clock):
    return RetryBudget.from_options(RetryOptions(0.1, 1.0, 5.0), clock)


def spend(budget, attempts):
    return sum(budget.try_retry() for _ in range(attempts))


def test_retries_are_a_share_of_the_requests(budget):
    assert spend(budget, 50) == 5
    for _ in range(25):
        budget.record_request()
    assert spend(budget, 50) == 2


def test_time_earns_a_few_retries_up_to_a_bound(budget, clock):
    spend(budget, 50)
    clock.advance(2.0)
    assert spend(budget, 50) == 2
    clock.advance(1000.0)
    assert spend(budget, 50) == 5
