"""Tests of the benchmarks of membership, shards and peers at small sizes."""

from lacewingpond.bench import membership, peers, shards


def test_membership_traffic_does_not_grow_unlike_all_to_all(monkeypatch):
    monkeypatch.setattr(membership, "VM_COUNTS", (50, 100, 200, 400))
    series_by_key = {(s.name, s.variant, s.value_unit): s for s in _run(membership)}
    current = series_by_key["traffic", "current", "bytes/s"].points
    baseline = series_by_key["traffic", "all to all", "bytes/s"].points
    assert current[0].value == current[-1].value
    assert baseline[-1].value > 4 * baseline[0].value


def test_loss_of_vms_needs_fewer_writes_than_naive_variant(monkeypatch):
    monkeypatch.setattr(shards, "SHARD_COUNTS", (8, 16, 32, 64))
    monkeypatch.setattr(shards, "FLEET_SIZES", (3, 6, 9, 12))
    series = _run(shards)
    assert all(s.fit() for s in series)
    current, baseline = series[-2:]
    assert current.points[-1].value < baseline.points[-1].value


def test_connection_costs_grow_with_the_number_of_connections(monkeypatch):
    monkeypatch.setattr(peers, "MESSAGE_BYTES", (1, 10, 100, 1_000))
    monkeypatch.setattr(peers, "CONNECTION_COUNTS", (1, 2, 3, 4))
    series = peers.PeerBench().run(seed=1)
    assert [s.fit().slope > 0 for s in series[1:]] == [True, True]


def _run(module):
    bench = getattr(module, "MembershipBench", None) or module.ShardBench
    return bench().run(seed=1)
