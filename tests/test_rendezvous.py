"""Tests of rendezvous hashing."""

from lacewingpond.util.rendezvous import ranked, shard_of


def test_rank_does_not_depend_on_the_order_of_candidates():
    assert ranked("ledger", ["a", "b", "c"]) == ranked("ledger", ["c", "a", "b"])


def test_names_are_spread_over_all_shards():
    assert {shard_of(f"service-{i}", 4) for i in range(64)} == {0, 1, 2, 3}
