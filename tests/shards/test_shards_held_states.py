"""Tests of the states that a new owner holds until it owns their shards."""

from lacewingpond.shards.held_states import (
    ComponentState,
    HeldStates,
    decode_states,
    encode_states,
)
from lacewingpond.shards.messages import StateChunk
from lacewingpond.shards.released import ReleasedShard, batch_chunks

SIZES_BYTES = (10, 10, 10, 10, 10, 250, 10, 10)
STATES = (ComponentState("number", b"x" * 50),)


def make_held_states(max_bytes=1_000, max_chunks=10):
    return HeldStates(max_bytes, max_chunks, ttl_s=100.0)


def add_chunk(held, data, index=0, count=1, epoch=3, sender="a", shard=1):
    return held.add(sender, StateChunk(shard, epoch, index, count, data), now=0.0)


def test_chunks_in_any_order_complete_the_state():
    held, data = make_held_states(), encode_states(STATES)
    assert add_chunk(held, data[20:], index=1, count=2)
    assert held.get(1, 3) is None
    assert add_chunk(held, data[:20], index=0, count=2)
    assert held.get(1, 3).states() == STATES
    assert held.get(1, 4) is None


def test_chunks_beyond_the_bounds_are_refused():
    held = make_held_states(max_bytes=100)
    assert add_chunk(held, b"x" * 80)
    assert not add_chunk(held, b"x" * 30, shard=2)
    assert not add_chunk(held, b"x", count=11, shard=3)
    assert not add_chunk(held, b"x", index=2, count=2, shard=3)
    assert not add_chunk(held, b"x", index=-1, count=2, shard=3)


def test_older_epoch_does_not_replace_a_newer_one():
    held = make_held_states()
    assert add_chunk(held, b"new", epoch=5)
    assert not add_chunk(held, b"old", epoch=4, sender="b")
    assert add_chunk(held, b"newer", epoch=6)
    assert held.get(1, 5) is None


def test_states_expire_and_undecodable_data_yields_no_state():
    held = make_held_states()
    add_chunk(held, b"\xc1")
    assert decode_states(b"\xc1") == ()
    assert [state.shard for state in held.overdue(50.0, 2.0)] == [1]
    assert held.overdue(101.0, 2.0) == []
    assert held.complete() == ()


def test_states_are_sent_in_chunks_and_batches_of_bounded_size():
    shards = [
        ReleasedShard(n, 3, bytes([n]) * size, ()) for n, size in enumerate(SIZES_BYTES)
    ]
    chunks = [chunk for shard in shards for chunk in shard.to_chunks(100)]
    batches = list(batch_chunks(chunks, 100))
    assert all(sum(len(chunk.data) for chunk in batch) <= 100 for batch in batches)
    assert len(batches) < len(shards)
    held = make_held_states()
    for chunk in reversed([chunk for batch in batches for chunk in batch]):
        assert held.add("a", chunk, now=0.0)
    assert len(held.complete()) == len(shards)
