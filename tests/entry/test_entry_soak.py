"""Soak of entry daemons: kept connections beside stops, kills, cuts and limits."""

import os
from collections import Counter
from contextlib import ExitStack

import pytest
from soak_helper import SoakFleet

ROLLBACK_SLACK_S = 0.25  # the users' bound
SECONDS = float(os.environ.get("SOAK_SECONDS", "12"))
FIRST_SEED = int(os.environ.get("SOAK_FIRST_SEED", "1"))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("SOAK_SEEDS", "4")))


# Guards against faults that only meet each other when many things happen at once.
@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_beside_overlapping_faults(seed):
    with ExitStack() as exits:
        fleet = SoakFleet(seed, exits)
        exchanges = fleet.play(SECONDS)
        broken = Counter(
            {
                "ran twice": sum(ran_twice(fleet, e) for e in exchanges),
                "refused, but ran": sum(
                    ran_though_refused(fleet, e) for e in exchanges
                ),
                "of another request": sum(is_not_its_own(e) for e in exchanges),
                "lost": sum(is_lost(fleet, e) for e in exchanges),
                "by an older version": len(went_back(exchanges)),
                "route unknown to a carrier": len(fleet.lost_routes()),
                "beyond a limit": sum(t.excess(fleet.restarts) for t in fleet.targets),
            }
        )
    assert +broken == Counter()
    # A route that a VM does not know yet is refused by right.
    known = [e for e in exchanges if e.status != 404]
    assert sum(e.status == 200 for e in known) >= len(known) * 0.6


def ran_twice(fleet, exchange):
    return not exchange.idempotent and len(fleet.runs.get(exchange.request_id, ())) > 1


def ran_though_refused(fleet, exchange):
    refused = exchange.status in (408, 421, 429, 503) or exchange.run == "not-run"
    ran = bool(fleet.runs.get(exchange.request_id))
    return refused and ran and not exchange.idempotent


def is_not_its_own(exchange):
    if exchange.status not in (200, 500) or not exchange.complete:
        return False
    return not exchange.body.startswith(exchange.request_id.encode())


def went_back(exchanges):
    """Return the requests for which their VM did not know a route any more.

    Each incarnation of a VM counts by itself. A version that it has served stays in
    force there, whichever VM delivered the request.
    """
    served_at = {}
    for each in exchanges:
        if each.status == 200:
            key = (each.incarnation, each.version)
            served_at[key] = min(served_at.get(key, each.ended_at), each.ended_at)
    return [
        each
        for each in exchanges
        if each.status == 404
        and any(
            incarnation == each.incarnation
            and version >= each.version
            and each.sent_at > at + ROLLBACK_SLACK_S
            for (incarnation, version), at in served_at.items()
        )
    ]


def is_lost(fleet, exchange):
    """Return whether a request ran and its connection ended without a response."""
    if exchange.complete or fleet.was_killed(exchange):
        return False
    ran = bool(fleet.runs.get(exchange.request_id))
    return (ran or exchange.read_any) and not fleet.excuses_stop(exchange)
