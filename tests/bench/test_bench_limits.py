"""Tests of the fleets and stand-ins behind the benchmarks of limits and claims."""

from lacewingpond.bench.claims import Keys
from lacewingpond.bench.grant_link import GrantLink
from lacewingpond.bench.grants import GrantFleet
from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.reply import Reply, ReplyKind
from lacewingpond.replay.local_claims import LocalClaims


def test_many_workspaces_cost_more_messages_than_few():
    sent = []
    for workspaces in (1, 64):
        fleet = GrantFleet(4, workspaces, seed=1)
        fleet.run(1.0)
        sent.append(fleet.sent())
    assert 0 < sent[0][0] < sent[1][0]
    assert sent[0][1] < sent[1][1]


def test_link_admits_over_sockets():
    link = GrantLink(("a", "b"))
    try:
        assert link.admit(("a", "b", "a")) > 0.0
    finally:
        link.close()


def test_local_claims_answer_what_they_remember():
    claims = LocalClaims(None)
    first, second = Keys(1).requests(2)
    reply = Reply(ReplyKind.ANSWER, RunState.RAN)
    claims.remember(first, reply)
    assert claims.submit(first) is reply
    assert first.key != second.key
