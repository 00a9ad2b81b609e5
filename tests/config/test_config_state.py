"""Tests of chunks, heads, states and the holder."""

import msgspec
from config_helpers import history, small_config
from hypothesis import given
from hypothesis import strategies as st

from lacewingpond.config import chunks
from lacewingpond.config.changes import Changes
from lacewingpond.config.head import HISTORY_LENGTH, ConfirmedPlan, Head
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.kinds import ItemKind, ItemRef
from lacewingpond.config.model import Config, Workspace
from lacewingpond.config.state import ConfigState
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog


def many(count, rate=1.0):
    return tuple(Workspace(f"w{n}", rate, 1.0) for n in range(count))


def chunks_of(state, refs):
    from result import Ok

    return Ok({ref.digest: state.chunk(ref) for ref in refs})


@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 900), st.floats(1, 9)), max_size=40
    ),
    st.integers(0, 700),
)
def test_applied_changes_give_the_same_state_as_the_full_config(edits, size):
    state = ConfigState.from_config(Config(workspaces=many(size)))
    items = {item.name: item for item in state.cfg.workspaces}
    for put, number, rate in edits:
        name = f"w{number}"
        changes = Changes(removed=(ItemRef("workspaces", name),))
        items.pop(name, None)
        if put:
            items[name] = Workspace(name, rate, 1.0)
            changes = Changes(workspaces=(items[name],))
        state = state.with_changes(changes, "p")
    assert {item.name: item for item in state.cfg.workspaces} == items
    whole = ConfigState.from_config(state.cfg, state.head.history)
    if whole.head.buckets == state.head.buckets:
        assert whole.root == state.root
    other = ConfigState.from_config(Config(workspaces=many(size)))
    loaded = other.load(state.head, lambda refs: chunks_of(state, refs)).unwrap()
    assert (loaded.cfg, loaded.root) == (state.cfg, state.root)
    assert other.changes_to(loaded).size <= len(edits)


def test_change_of_one_of_47000_workspaces_rewrites_one_small_chunk():
    state = ConfigState.from_config(Config(workspaces=many(47_000)))
    later = state.with_changes(Changes(workspaces=(Workspace("w7", 5.0, 5.0),)), "p")
    fresh = state.missing_chunks(later.head)
    assert len(fresh) == 1
    assert len(later.chunk(fresh[0]).packed) < 100_000
    assert len(later.head.to_bytes()) < 1_000_000
    assert later.find(ItemKind.WORKSPACE, "w7").rate == 5.0


def test_invalid_bytes_and_wrong_digests_are_errors():
    state = ConfigState.from_config(small_config(), history(1))
    head = Head.from_bytes(state.head.to_bytes()).unwrap()
    assert head == state.head
    assert Head.from_bytes(b"garbage").is_err()
    ref = head.chunks[0]
    packed = state.chunk(ref).packed
    kind = ItemKind(ref.kind)
    assert chunks.unpack(chunks.Chunk(ref.digest, packed), kind).is_ok()
    assert chunks.unpack(chunks.Chunk(b"x" * 16, packed), kind).is_err()
    assert chunks.unpack(chunks.Chunk(ref.digest, b"x"), kind).is_err()
    assert ConfigState.empty().load(head, lambda _: chunks_of(state, ())).is_err()


def test_history_finds_confirmed_plans_and_knows_its_limit():
    entries = tuple(ConfirmedPlan(n, f"p{n}") for n in range(10, 10 + HISTORY_LENGTH))
    head = Head(revision=entries[-1].revision, history=entries)
    assert head.confirmed("p12").revision == 12
    assert head.history_covers(9)
    assert not head.history_covers(8)


def test_holder_accepts_only_newer_revisions_and_notifies_listeners():
    holder = ConfigHolder()
    calls = []
    holder.on_change(lambda cfg, changes: calls.append((cfg.revision, changes)))
    first = ConfigState.from_config(small_config(), history(1))
    change = Changes(workspaces=(Workspace("shop", 99.0, 1.0),))
    second = first.with_changes(change, "p2")
    assert holder.replace(first)
    assert holder.replace(second)
    assert not holder.replace(first)
    assert not holder.replace(second)
    assert calls[-1] == (2, change)
    assert [step.plan_id for step in holder.steps_after(1)] == ["p2"]
    assert str(holder.steps_after(1)[0].lines[0]).startswith("change workspace shop")


def test_skipped_revision_clears_the_steps():
    holder = ConfigHolder()
    state = ConfigState.from_config(msgspec.structs.replace(small_config(), revision=5))
    holder.replace(state)
    assert holder.steps_after(4) is None
    assert holder.steps_after(5) == ()


def test_exception_in_a_listener_does_not_stop_the_others():
    log = RecordingDecisionLog()
    holder = ConfigHolder(log=log)
    revisions = []
    holder.on_change(lambda cfg, changes: 1 / 0)
    holder.on_change(lambda cfg, changes: revisions.append(cfg.revision))
    assert holder.replace(ConfigState.from_config(small_config()))
    assert revisions == [1]
    assert log.lines[0][0] == "config-fault"
