"""Tests of confirming plans: lost responses, races and store failures."""

import gevent
import pytest
from config_helpers import first_intents
from result import Err

from lacewingpond.config.confirmation import ConfirmFailure
from lacewingpond.config.confirmer import Confirmer
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.intents import PutWorkspace, SetRate, WithdrawKey
from lacewingpond.config.model import Workspace
from lacewingpond.config.plan import plan
from lacewingpond.config.repository import HEAD_KEY, ConfigRepository
from lacewingpond.standin.faulty_store import FaultyStore
from lacewingpond.store.base import StoreError, StoreFailure
from lacewingpond.store.memory import MemoryStore
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import RuntimeClock


class FailingStore(FaultyStore):
    """Fails the n-th call, and with `lasting` all later ones.

    Failed reads are never performed. A write that fails with UNKNOWN is performed,
    and its response is lost.
    """

    __slots__ = ("left", "failure", "lasting", "calls")

    def fail_at(self, calls, failure, lasting):
        self.left, self.failure, self.lasting, self.calls = calls, failure, lasting, 0

    def _read(self, kind, call):
        return self._forward_or_fail(
            super()._read, kind, call, StoreFailure.UNAVAILABLE
        )

    def _write(self, kind, key, call):
        def forward(kind, call):
            return FaultyStore._write(self, kind, key, call)

        return self._forward_or_fail(forward, kind, call, self.failure)

    def _forward_or_fail(self, forward, kind, call, failure):
        self.calls += 1
        self.left -= 1
        if self.left > 0 or (self.left < 0 and not self.lasting):
            return forward(kind, call)
        if failure is StoreFailure.UNKNOWN:
            forward(kind, call)
        return Err(StoreError(failure, "injected"))


@pytest.fixture
def memory():
    return MemoryStore(RuntimeClock())


class Vm:
    """The parts of a VM that plan and confirm, on a store that can fail."""

    def __init__(self, memory):
        self.store = FailingStore(memory, RuntimeClock())
        self.store.fail_at(10**9, StoreFailure.UNAVAILABLE, False)
        self.repository = ConfigRepository(self.store)
        self.holder = ConfigHolder()
        self.log = RecordingDecisionLog()
        self.confirmer = Confirmer(
            self.repository, self.holder, RuntimeClock(), self.log, lambda: 0
        )

    def plan(self, *intents):
        made = plan(self.holder.current, intents).unwrap()
        assert self.repository.save_plan(made).is_ok()
        return made.plan_id

    def confirm(self, plan_id):
        return self.confirmer.confirm(plan_id)

    def head(self):
        return self.repository.read_head().unwrap().head


def test_repeated_confirm_on_another_vm_returns_the_same_revision(memory):
    one, other = Vm(memory), Vm(memory)
    plan_id = one.plan(*first_intents())
    assert other.confirm(plan_id).unwrap().revision == 1
    again = one.confirm(plan_id).unwrap()
    assert (again.revision, again.repeated) == (1, True)
    assert other.holder.revision == 1
    assert [line[0] for line in one.log.lines] == ["config-confirm"]


def test_confirm_of_an_outdated_plan_is_refused_with_the_changes_since(memory):
    one, other = Vm(memory), Vm(memory)
    one.confirm(one.plan(*first_intents()))
    other.holder.replace(one.holder.state)
    first = one.plan(WithdrawKey("k1"))
    second = other.plan(SetRate("workspace", "shop", 5.0, 5.0))
    assert one.confirm(first).is_ok()
    error = other.confirm(second).unwrap_err()
    assert error.refusal is ConfirmFailure.CONFLICT
    assert [str(line) for line in error.changed] == ["remove key k1"]
    assert other.head().revision == 2


def test_exactly_one_of_simultaneous_confirmations_is_accepted(memory):
    first = Vm(memory)
    first.confirm(first.plan(*first_intents()))
    vms = [Vm(memory) for _ in range(8)]
    plan_ids = []
    for number, vm in enumerate(vms):
        vm.store.faults.delay_s = 0.001 * (1 + number % 3)
        vm.holder.replace(first.holder.state)
        plan_ids.append(vm.plan(PutWorkspace(Workspace(f"w{number}", 1.0, 1.0))))
    confirming = [
        gevent.spawn(vm.confirm, plan_id)
        for vm, plan_id in zip(vms, plan_ids, strict=True)
    ]
    outcomes = [greenlet.get(timeout=10) for greenlet in confirming]
    assert sum(outcome.is_ok() for outcome in outcomes) == 1
    refused = {outcome.err().refusal for outcome in outcomes if outcome.is_err()}
    assert refused == {ConfirmFailure.CONFLICT}
    assert first.head().revision == 2
    fresh = Vm(memory)
    state = fresh.repository.load(fresh.holder.state, fresh.head()).unwrap()
    assert len(state.cfg.workspaces) == 2


def test_confirm_of_an_unknown_plan_is_refused(memory):
    assert Vm(memory).confirm("feed").unwrap_err().refusal is ConfirmFailure.NO_PLAN


def confirm_with_failure(failure, lasting, call):
    """Confirm a plan while the store fails at one call.

    Returns the reported outcome, whether the plan is applied, and the number of
    store calls.
    """
    memory = MemoryStore(RuntimeClock())
    vm = Vm(memory)
    vm.confirm(vm.plan(*first_intents()))
    plan_id = vm.plan(SetRate("workspace", "shop", 5.0, 5.0))
    vm.store.fail_at(call, failure, lasting)
    outcome = vm.confirm(plan_id)
    calls = vm.store.calls
    fresh = Vm(memory)
    applied = fresh.head().confirmed(plan_id) is not None
    loaded = fresh.repository.load(fresh.holder.state, fresh.head())
    assert loaded.is_ok(), "the head names chunks that are missing"
    return outcome, applied, calls


@pytest.mark.parametrize("lasting", [False, True])
@pytest.mark.parametrize("failure", [StoreFailure.UNAVAILABLE, StoreFailure.UNKNOWN])
def test_outcome_is_reported_correctly_when_any_store_call_fails(failure, lasting):
    _, _, calls = confirm_with_failure(failure, False, 10**9)
    assert calls > 6
    reported = set()
    for call in range(1, calls + 1):
        outcome, applied, _ = confirm_with_failure(failure, lasting, call)
        if outcome.is_ok():
            assert applied, call
            reported.add("accepted")
        else:
            refusal = outcome.err_value.refusal
            reported.add(refusal.value)
            assert refusal in (ConfirmFailure.NOT_ACCEPTED, ConfirmFailure.UNKNOWN), (
                call
            )
            assert refusal is ConfirmFailure.UNKNOWN or not applied, call
    assert "not-accepted" in reported
    assert ("unknown" in reported) == (failure is StoreFailure.UNKNOWN and lasting)


def test_confirm_reads_the_head_when_the_answer_to_its_write_is_lost(memory):
    vm = Vm(memory)
    plan_id = vm.plan(*first_intents())
    forward = vm.store.put_if

    class LostHeadAnswer(ConfigRepository):
        def write_head(self, head, expected):
            forward(HEAD_KEY, head.to_bytes(), expected)
            return Err(StoreError(StoreFailure.UNKNOWN, "lost"))

    vm.confirmer._repository = LostHeadAnswer(vm.store)
    assert vm.confirm(plan_id).unwrap().revision == 1
    assert vm.holder.revision == 1


def test_confirm_is_refused_while_the_store_holds_an_older_revision(memory):
    vm = Vm(memory)
    vm.confirm(vm.plan(*first_intents()))
    snapshot = memory.snapshot()
    vm.confirm(vm.plan(WithdrawKey("k1")))
    memory.restore(snapshot)
    plan_id = vm.plan(SetRate("workspace", "shop", 5.0, 5.0))
    error = vm.confirm(plan_id).unwrap_err()
    assert error.refusal is ConfirmFailure.NOT_ACCEPTED
    assert "older than revision 2" in error.detail


def test_replaced_chunks_are_deleted_and_reused_ones_are_kept(memory):
    vm = Vm(memory)
    vm.confirm(vm.plan(*first_intents()))
    for rate in (5.0, 10.0, 5.0, 10.0):
        vm.confirm(vm.plan(SetRate("workspace", "shop", rate, 20.0)))
    held = memory.scan("config/chunk/").unwrap()
    assert len(held) == len(vm.head().chunks)
    fresh = Vm(memory)
    assert fresh.repository.load(fresh.holder.state, vm.head()).is_ok()


def test_late_deletion_keeps_a_chunk_that_was_written_again(memory):
    one, other = Vm(memory), Vm(memory)
    one.confirm(one.plan(*first_intents()))
    delayed = []

    class LateDeletion(ConfigRepository):
        def delete_chunks(self, stored):
            delayed.append(stored)

    one.confirmer._repository = LateDeletion(one.store)
    one.confirm(one.plan(SetRate("workspace", "shop", 5.0, 20.0)))
    other.holder.replace(one.holder.state)
    other.confirm(other.plan(SetRate("workspace", "shop", 10.0, 20.0))).unwrap()
    one.repository.delete_chunks(delayed[0])
    fresh = Vm(memory)
    state = fresh.repository.load(fresh.holder.state, fresh.head()).unwrap()
    assert state.cfg.workspaces[0].rate == 10.0
