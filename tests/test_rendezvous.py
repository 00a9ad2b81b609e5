"""Tests of rendezvous hashing."""

from lacewingpond.util.rendezvous import ranked, shard_of


def test_every_caller_ranks_alike():
    assert ranked("ledger", ["a", "b", "c"]) == ranked("ledger", ["c", "a", "b"])


def test_shards_are_in_range():
    assert {shard_of(f"service-{i}", 4) for i in range(64)} == {0, 1, 2, 3}
