"""Confirms plans: one compare-and-swap on the head, and the truth about it."""

from collections.abc import Callable

from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.confirmation import Confirmation, ConfirmError, Refusal
from lacewingpond.config.diff import DiffLine
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.plan import Plan, planned_changes
from lacewingpond.config.repository import (
    ConfigRepository,
    StoredChunk,
    StoredHead,
    describe,
)
from lacewingpond.config.state import ConfigState
from lacewingpond.store.base import StoreError, StoreFailure
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

READ_BACK_ATTEMPTS = 4
READ_BACK_DELAY_S = 0.1


class _Attempt(Struct, frozen=True):
    """A revision about to be written, and what it leaves behind."""

    state: ConfigState
    expected: int
    replaced: tuple[StoredChunk, ...]


class Confirmer:
    """Confirms pending plans.

    Parameters
    ----------
    repository : ConfigRepository
        The store's side.
    holder : ConfigHolder
        The revision in force here; a confirmed one is put in force at once.
    clock : Clock
        Times the pauses between attempts to read an answer back.
    log : DecisionLog
        Takes one line for each confirmation.
    fleet_revision : callable
        Returns the highest revision that this VM has heard of.
    """

    __slots__ = ("_repository", "_holder", "_clock", "_log", "_fleet_revision")

    def __init__(
        self,
        repository: ConfigRepository,
        holder: ConfigHolder,
        clock: Clock,
        log: DecisionLog,
        fleet_revision: Callable[[], int],
    ) -> None:
        self._repository = repository
        self._holder = holder
        self._clock = clock
        self._log = log
        self._fleet_revision = fleet_revision

    def confirm(self, plan_id: str) -> Result[Confirmation, ConfirmError]:
        """Put a plan in force once, however often it is confirmed."""
        outcome = self._confirm(plan_id)
        if outcome.is_ok():
            revision = outcome.ok_value.revision
            self._log.decision("config-confirm", plan_id, "accepted", revision=revision)
        else:
            error = outcome.err_value
            self._log.decision(
                "config-confirm", plan_id, error.refusal.value, detail=error.detail
            )
        return outcome

    def _confirm(self, plan_id: str) -> Result[Confirmation, ConfirmError]:
        read = self._repository.read_head()
        if read.is_err():
            return _not_accepted(describe(read.err_value))
        stored = read.ok_value
        confirmed = stored.head.confirmed(plan_id)
        if confirmed is not None:
            return Ok(Confirmation(plan_id, confirmed.revision, repeated=True))
        newest = max(self._holder.revision, self._fleet_revision())
        if stored.head.revision < newest:
            detail = f"the store holds revision {stored.head.revision}, older than"
            return _not_accepted(f"{detail} revision {newest} in force")
        found = self._repository.read_plan(plan_id)
        if found.is_err():
            return _not_accepted(describe(found.err_value))
        if found.ok_value is None:
            detail = "no such plan is pending; plans lapse after a day"
            return Err(ConfirmError(Refusal.NO_PLAN, detail))
        return self._put_in_force(found.ok_value, stored)

    def _put_in_force(
        self, plan: Plan, stored: StoredHead
    ) -> Result[Confirmation, ConfirmError]:
        if plan.base_revision != stored.head.revision:
            return self._conflict(plan, stored)
        prepared = self._prepare(plan, stored)
        if prepared.is_err():
            return prepared
        attempt = prepared.ok_value
        outcome = self._swap(plan, attempt)
        if outcome.is_ok():
            self._holder.replace(attempt.state)
            self._repository.delete_chunks(attempt.replaced)
        return outcome

    def _prepare(
        self, plan: Plan, stored: StoredHead
    ) -> Result[_Attempt, ConfirmError]:
        """Write the chunks of the new revision; without a head they are inert."""
        loaded = self._repository.load(self._holder.state, stored.head)
        if loaded.is_err():
            return _not_accepted(loaded.err_value)
        base = loaded.ok_value
        planned = planned_changes(base.cfg, plan.intents)
        if planned.is_err():
            return _not_accepted("; ".join(str(found) for found in planned.err_value))
        state = base.changed(planned.ok_value, plan.plan_id)
        # Found before the swap: whoever brings such a chunk back later has read
        # the new head, and so writes it at a higher store revision than this one.
        replaced = self._repository.find_chunks(state.missing(base.head))
        if replaced.is_err():
            return _not_accepted(describe(replaced.err_value))
        written = self._repository.write_chunks(state, base.missing(state.head))
        if written.is_err():
            return _not_accepted(describe(written.err_value))
        return Ok(_Attempt(state, stored.store_revision, replaced.ok_value))

    def _swap(
        self, plan: Plan, attempt: _Attempt
    ) -> Result[Confirmation, ConfirmError]:
        head = attempt.state.head
        accepted = Ok(Confirmation(plan.plan_id, head.revision))
        written = self._repository.write_head(head, attempt.expected)
        if written.is_ok():
            return accepted
        failure = written.err_value.failure
        if failure not in (StoreFailure.UNKNOWN, StoreFailure.CONFLICT):
            return _not_accepted(describe(written.err_value))
        for _ in range(READ_BACK_ATTEMPTS):
            settled = self._settle(plan, attempt)
            if settled is not None:
                return settled
            self._clock.sleep(READ_BACK_DELAY_S)
        return _unknown(written.err_value)

    def _settle(
        self, plan: Plan, attempt: _Attempt
    ) -> Result[Confirmation, ConfirmError] | None:
        """Read the head back after a swap without an answer; None when unsure."""
        read = self._repository.read_head()
        if read.is_err():
            return None
        stored = read.ok_value
        confirmed = stored.head.confirmed(plan.plan_id)
        if confirmed is not None:
            return Ok(Confirmation(plan.plan_id, confirmed.revision))
        if stored.store_revision != attempt.expected:
            # Another head is there, so a late write of this one must fail.
            return self._conflict(plan, stored)
        # The first write may still be under way; the same swap again is safe.
        written = self._repository.write_head(attempt.state.head, attempt.expected)
        if written.is_ok():
            return Ok(Confirmation(plan.plan_id, attempt.state.revision))
        return None

    def _conflict(
        self, plan: Plan, stored: StoredHead
    ) -> Result[Confirmation, ConfirmError]:
        base, revision = plan.base_revision, stored.head.revision
        if not stored.head.remembers(base):
            detail = f"revision {base} is too long ago to tell"
            return Err(ConfirmError(Refusal.UNKNOWN, detail))
        detail = f"made for revision {base}, but revision {revision} is in force"
        changed = self._changed_since(base, stored)
        return Err(ConfirmError(Refusal.CONFLICT, detail, changed))

    def _changed_since(self, base: int, stored: StoredHead) -> tuple[DiffLine, ...]:
        loaded = self._repository.load(self._holder.state, stored.head)
        if loaded.is_ok():
            self._holder.replace(loaded.ok_value)
        steps = self._holder.steps_after(base)
        if steps is None:
            return ()
        return tuple(line for step in steps for line in step.lines)


def _not_accepted(detail: str) -> Result[Confirmation, ConfirmError]:
    return Err(ConfirmError(Refusal.NOT_ACCEPTED, detail))


def _unknown(error: StoreError) -> Result[Confirmation, ConfirmError]:
    detail = f"the store gave no answer ({describe(error)}); confirm again to find out"
    return Err(ConfirmError(Refusal.UNKNOWN, detail))
