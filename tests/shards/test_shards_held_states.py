"""Tests of the states that a taker holds."""

from lacewingpond.shards.held_states import (
    HeldNotes,
    PartState,
    decode_states,
    encode_states,
)
from lacewingpond.shards.messages import ShardNote
from lacewingpond.shards.released import ReleasedShard, batches

SIZES = (10, 10, 10, 10, 10, 250, 10, 10)
STATES = (PartState("number", b"x" * 50),)


def make_notes(max_bytes=1_000, max_chunks=10):
    return HeldNotes(max_bytes, max_chunks, life_s=100.0)


def add(notes, data, chunk=0, chunks=1, epoch=3, sender="a", shard=1):
    return notes.add(sender, ShardNote(shard, epoch, chunk, chunks, data), now=0.0)


def test_pieces_in_any_order_make_the_whole():
    notes, data = make_notes(), encode_states(STATES)
    assert add(notes, data[20:], chunk=1, chunks=2)
    assert notes.get(1, 3) is None
    assert add(notes, data[:20], chunk=0, chunks=2)
    assert notes.get(1, 3).states() == STATES
    assert notes.get(1, 4) is None


def test_memory_is_bounded():
    notes = make_notes(max_bytes=100)
    assert add(notes, b"x" * 80)
    assert not add(notes, b"x" * 30, shard=2)
    assert not add(notes, b"x", chunks=11, shard=3)
    assert not add(notes, b"x", chunk=2, chunks=2, shard=3)
    assert not add(notes, b"x", chunk=-1, chunks=2, shard=3)


def test_older_epoch_does_not_replace_a_newer_one():
    notes = make_notes()
    assert add(notes, b"new", epoch=5)
    assert not add(notes, b"old", epoch=4, sender="b")
    assert add(notes, b"newer", epoch=6)
    assert notes.get(1, 5) is None


def test_notes_expire_and_garbage_holds_no_state():
    notes = make_notes()
    add(notes, b"\xc1")
    assert decode_states(b"\xc1") == ()
    assert [note.shard for note in notes.waiting(50.0, 2.0)] == [1]
    assert notes.waiting(101.0, 2.0) == []
    assert notes.whole() == ()


def test_states_travel_in_pieces_and_groups_of_bounded_size():
    shards = [
        ReleasedShard(n, 3, bytes([n]) * size, ()) for n, size in enumerate(SIZES)
    ]
    sent = [note for shard in shards for note in shard.to_notes(100)]
    groups = list(batches(sent, 100))
    assert all(sum(len(note.data) for note in group) <= 100 for group in groups)
    assert len(groups) < len(shards)
    notes = make_notes()
    for note in reversed([note for group in groups for note in group]):
        assert notes.add("a", note, now=0.0)
    assert len(notes.whole()) == len(shards)
