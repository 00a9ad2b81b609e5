"""Tests of the simulations behind the benchmarks of limits and claims."""

from lacewingpond.bench.claims import ClaimCosts
from lacewingpond.bench.grant_link import GrantLink
from lacewingpond.bench.grants import GrantFleet
from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.reply import Reply, ReplyKind
from lacewingpond.replay.local_claims import LocalClaims


def test_more_workspaces_cost_more_messages_and_bytes():
    traffic = []
    for workspaces in (1, 64):
        fleet = GrantFleet(4, workspaces, seed=1)
        fleet.run(1.0)
        traffic.append(fleet.grant_traffic())
    assert 0 < traffic[0][0] < traffic[1][0]
    assert traffic[0][1] < traffic[1][1]


def test_grant_link_admits_requests_over_tcp():
    link = GrantLink(("a", "b"))
    try:
        assert link.admit(("a", "b", "a")) > 0.0
    finally:
        link.close()


def test_local_claims_return_the_remembered_reply():
    claims = LocalClaims(None)
    first, second = ClaimCosts(1).requests(2)
    reply = Reply(ReplyKind.ANSWER, RunState.RAN)
    claims.remember(first, reply)
    assert claims.submit(first) is reply
    assert first.key != second.key
