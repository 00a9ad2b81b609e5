"""Tests of the benchmarks of membership and shards at a few small sizes."""

from lacewingpond.bench import membership, peers, shards


def test_membership_costs_stay_constant_where_they_should(monkeypatch):
    monkeypatch.setattr(membership, "SIZES", (50, 100, 200, 400))
    found = {(s.name, s.variant, s.value_unit): s for s in _run(membership)}
    ours = found["traffic", "current", "bytes/s"].points
    naive = found["traffic", "all to all", "bytes/s"].points
    assert ours[0].value == ours[-1].value
    assert naive[-1].value > 4 * naive[0].value


def test_shard_losses_need_few_writes(monkeypatch):
    monkeypatch.setattr(shards, "SHARD_COUNTS", (8, 16, 32, 64))
    monkeypatch.setattr(shards, "FLEET_SIZES", (3, 6, 9, 12))
    series = _run(shards)
    assert all(s.fit() for s in series)
    ours, naive = series[-2:]
    assert ours.points[-1].value < naive.points[-1].value


def test_peer_costs_have_a_slope(monkeypatch):
    monkeypatch.setattr(peers, "SIZES", (1, 10, 100, 1_000))
    monkeypatch.setattr(peers, "CONNECTIONS", (1, 2, 3, 4))
    series = peers.PeerBench().run(seed=1)
    assert [s.fit().slope > 0 for s in series[1:]] == [True, True]


def _run(module):
    bench = getattr(module, "MembershipBench", None) or module.ShardBench
    return bench().run(seed=1)
