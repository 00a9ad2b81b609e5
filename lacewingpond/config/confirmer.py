"""Confirms plans by one compare-and-swap on the head, and finds out its outcome."""

from collections.abc import Callable

from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.confirmation import Confirmation, ConfirmError, ConfirmFailure
from lacewingpond.config.diff import DiffLine
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.plan import Plan, planned_changes
from lacewingpond.config.repository import (
    ConfigRepository,
    StoredChunk,
    StoredHead,
    describe_store_error,
)
from lacewingpond.config.state import ConfigState
from lacewingpond.store.base import StoreError, StoreFailure
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

READ_BACK_ATTEMPTS = 4
READ_BACK_DELAY_S = 0.1


class _PreparedRevision(Struct, frozen=True):
    """A prepared revision.

    Parameters
    ----------
    state : ConfigState
        The new revision; its chunks are in the store.
    expected : int
        Store revision that the head must still have.
    replaced : tuple of StoredChunk
        Chunks of the base revision that the new one does not use.
    """

    state: ConfigState
    expected: int
    replaced: tuple[StoredChunk, ...]


class Confirmer:
    """Confirms pending plans.

    Parameters
    ----------
    repository : ConfigRepository
        Reads and writes the store.
    holder : ConfigHolder
        Current revision of this VM; a confirmed one is applied to it at once.
    clock : Clock
        Times the delays between attempts to read the head back.
    log : DecisionLog
        Gets one line per confirmation.
    fleet_revision : callable
        Returns the highest revision known to this VM.
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
        """Apply a plan once; confirming an applied plan again returns its revision.

        Returns
        -------
        Result of Confirmation, ConfirmError
            The revision that the plan created, or why it is not known to be applied.
        """
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
            return _not_accepted(describe_store_error(read.err_value))
        stored = read.ok_value
        confirmed = stored.head.confirmed(plan_id)
        if confirmed is not None:
            return Ok(Confirmation(plan_id, confirmed.revision, repeated=True))
        newest = max(self._holder.revision, self._fleet_revision())
        if stored.head.revision < newest:
            detail = f"the store holds revision {stored.head.revision}, older than"
            return _not_accepted(
                f"{detail} revision {newest} known to this VM; "
                "confirm again when a VM has written that revision back"
            )
        found = self._repository.read_plan(plan_id)
        if found.is_err():
            return _not_accepted(describe_store_error(found.err_value))
        if found.ok_value is None:
            detail = (
                "no such plan is pending (plans expire after a day); make a new plan"
            )
            return Err(ConfirmError(ConfirmFailure.NO_PLAN, detail))
        return self._apply_plan(found.ok_value, stored)

    def _apply_plan(
        self, plan: Plan, stored: StoredHead
    ) -> Result[Confirmation, ConfirmError]:
        """Commit `plan` if its base revision is the stored one; else it is a conflict.

        The new revision becomes current on this VM, and replaced chunks are deleted.
        """
        if plan.base_revision != stored.head.revision:
            return self._conflict(plan, stored)
        result = self._prepare(plan, stored)
        if result.is_err():
            return result
        prepared = result.ok_value
        outcome = self._swap(plan, prepared)
        if outcome.is_ok():
            self._holder.replace(prepared.state)
            self._repository.delete_chunks(prepared.replaced)
        return outcome

    def _prepare(
        self, plan: Plan, stored: StoredHead
    ) -> Result[_PreparedRevision, ConfirmError]:
        """Write the chunks of the new revision; no head refers to them yet."""
        loaded = self._repository.load(self._holder.state, stored.head)
        if loaded.is_err():
            return _not_accepted(loaded.err_value)
        base = loaded.ok_value
        planned = planned_changes(base.cfg, plan.intents)
        if planned.is_err():
            return _not_accepted("; ".join(str(found) for found in planned.err_value))
        state = base.with_changes(planned.ok_value, plan.plan_id)
        # Store revisions are read before the swap. A VM that needs such a chunk
        # again has read the new head, so it writes the chunk at a higher store
        # revision, and the conditional deletion here leaves it alone.
        replaced = self._repository.find_chunks(state.missing_chunks(base.head))
        if replaced.is_err():
            return _not_accepted(describe_store_error(replaced.err_value))
        written = self._repository.write_chunks(state, base.missing_chunks(state.head))
        if written.is_err():
            return _not_accepted(describe_store_error(written.err_value))
        return Ok(_PreparedRevision(state, stored.store_revision, replaced.ok_value))

    def _swap(
        self, plan: Plan, prepared: _PreparedRevision
    ) -> Result[Confirmation, ConfirmError]:
        head = prepared.state.head
        accepted = Ok(Confirmation(plan.plan_id, head.revision))
        written = self._repository.write_head(head, prepared.expected)
        if written.is_ok():
            return accepted
        failure = written.err_value.failure
        if failure not in (StoreFailure.UNKNOWN, StoreFailure.CONFLICT):
            return _not_accepted(describe_store_error(written.err_value))
        for _ in range(READ_BACK_ATTEMPTS):
            outcome = self._resolve(plan, prepared)
            if outcome is not None:
                return outcome
            self._clock.sleep(READ_BACK_DELAY_S)
        return _unknown(written.err_value)

    def _resolve(
        self, plan: Plan, prepared: _PreparedRevision
    ) -> Result[Confirmation, ConfirmError] | None:
        """Find out the outcome of a swap, repeating it if the head is unchanged.

        Returns None while the outcome is unknown.
        """
        read = self._repository.read_head()
        if read.is_err():
            return None
        stored = read.ok_value
        confirmed = stored.head.confirmed(plan.plan_id)
        if confirmed is not None:
            return Ok(Confirmation(plan.plan_id, confirmed.revision))
        if stored.store_revision != prepared.expected:
            # The head has changed, so a delayed write of this one fails.
            return self._conflict(plan, stored)
        # The first write may still be in progress. Both expect the same store
        # revision, so at most one of them succeeds.
        written = self._repository.write_head(prepared.state.head, prepared.expected)
        if written.is_ok():
            return Ok(Confirmation(plan.plan_id, prepared.state.revision))
        return None

    def _conflict(
        self, plan: Plan, stored: StoredHead
    ) -> Result[Confirmation, ConfirmError]:
        """Return why `plan` is not known to be applied, and the changes since its base.

        The outcome is UNKNOWN if the history no longer covers the base revision.
        """
        base, revision = plan.base_revision, stored.head.revision
        if not stored.head.history_covers(base):
            detail = (
                f"the plan was made for revision {base}, which is older than the "
                "history of confirmed plans; read the configuration to learn whether "
                "the plan was applied"
            )
            return Err(ConfirmError(ConfirmFailure.UNKNOWN, detail))
        detail = (
            f"the plan was made for revision {base}, but the current revision is "
            f"{revision}; make a new plan"
        )
        changed = self._catch_up_and_diff(base, stored)
        return Err(ConfirmError(ConfirmFailure.CONFLICT, detail, changed))

    def _catch_up_and_diff(self, base: int, stored: StoredHead) -> tuple[DiffLine, ...]:
        """Apply the stored revision on this VM, and return what changed since `base`.

        Nothing is returned if this VM does not keep all steps since then.
        """
        loaded = self._repository.load(self._holder.state, stored.head)
        if loaded.is_ok():
            self._holder.replace(loaded.ok_value)
        steps = self._holder.steps_after(base)
        if steps is None:
            return ()
        return tuple(line for step in steps for line in step.lines)


def _not_accepted(detail: str) -> Result[Confirmation, ConfirmError]:
    return Err(ConfirmError(ConfirmFailure.NOT_ACCEPTED, detail))


def _unknown(error: StoreError) -> Result[Confirmation, ConfirmError]:
    detail = (
        f"the store did not respond ({describe_store_error(error)}); "
        "confirm the plan again"
    )
    return Err(ConfirmError(ConfirmFailure.UNKNOWN, detail))
