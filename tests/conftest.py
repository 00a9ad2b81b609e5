"""Shared set-up of the tests: cooperative sockets and the paused clock."""

from gevent import monkey

monkey.patch_all()

import pytest  # noqa: E402
from hypothesis import settings  # noqa: E402

from lacewingpond.util.clock import PausedClock  # noqa: E402

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")


@pytest.fixture
def clock():
    return PausedClock()
