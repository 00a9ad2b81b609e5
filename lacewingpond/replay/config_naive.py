"""Naive VM of the configuration scenario, which polls the store."""

import random

import gevent
from result import Err, Ok, Result

from lacewingpond.config.confirmation import Confirmation, ConfirmError, ConfirmFailure
from lacewingpond.config.intents import Intent
from lacewingpond.config.plan import plan, planned_changes
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.config.state import ConfigState
from lacewingpond.peers.memory import MemoryNetwork
from lacewingpond.replay.config_vm import ReachableVms
from lacewingpond.standin.faulty_store import FaultyStore
from lacewingpond.store.base import Store, VmRecord
from lacewingpond.util.clock import Clock

POLL_S = 5.0


class PollingVm:
    """A VM that polls the head every `POLL_S` seconds and applies it.

    It has no peers, treats a lost response as a failure and follows a store that
    went back to an older revision. The parameters are those of `ReplayVm`.
    """

    __slots__ = ("record", "store", "members", "_state", "_repository", "_clock")
    __slots__ += ("_rng", "_greenlet")

    def __init__(
        self,
        record: VmRecord,
        records: tuple[VmRecord, ...],
        store: Store,
        network: MemoryNetwork,
        clock: Clock,
        seed: int,
    ) -> None:
        self.record = record
        self.store = FaultyStore(store, clock)
        self.members = ReachableVms(record.vm_id, records)
        self._state = ConfigState.empty()
        self._repository = ConfigRepository(self.store)
        self._clock = clock
        self._rng = random.Random(f"{seed}/{record.vm_id}")
        self._greenlet: gevent.Greenlet | None = None

    @property
    def revision(self) -> int:
        """Current revision of this VM."""
        return self._state.revision

    def start(self) -> None:
        """Start polling."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop polling."""
        gevent.kill(self._greenlet)

    def is_isolated(self) -> bool:
        """Return False: this VM does not check how old its configuration is."""
        return False

    def accepts(self, key_id: str) -> bool:
        """Return whether a request with this key would be admitted."""
        return any(key.key_id == key_id for key in self._state.cfg.keys)

    def plan(self, intents: tuple[Intent, ...]) -> str | None:
        """Return the id of a new plan, or None if it was not stored."""
        self._poll()
        created = plan(self._state.cfg, intents)
        if created.is_err() or self._repository.save_plan(created.ok_value).is_err():
            return None
        return created.ok_value.plan_id

    def confirm(self, plan_id: str) -> Result[Confirmation, ConfirmError]:
        """Confirm a plan; any failure of the store is reported as a refusal.

        Returns the confirmation, or an error with `ConfirmFailure.NOT_ACCEPTED`.
        """
        read = self._repository.read_head()
        found = self._repository.read_plan(plan_id)
        if read.is_err() or found.is_err() or found.ok_value is None:
            return _refused()
        loaded = self._repository.load(self._state, read.ok_value.head)
        if loaded.is_err():
            return _refused()
        planned = planned_changes(loaded.ok_value.cfg, found.ok_value.intents)
        if planned.is_err():
            return _refused()
        state = loaded.ok_value.with_changes(planned.ok_value, plan_id)
        refs = loaded.ok_value.missing_chunks(state.head)
        if self._repository.write_chunks(state, refs).is_err():
            return _refused()
        expected = read.ok_value.store_revision
        if self._repository.write_head(state.head, expected).is_err():
            return _refused()
        self._state = state
        return Ok(Confirmation(plan_id, state.revision))

    def _run(self) -> None:
        self._clock.sleep(self._rng.uniform(0.0, POLL_S))
        while True:
            self._poll()
            self._clock.sleep(POLL_S)

    def _poll(self) -> None:
        read = self._repository.read_head()
        if read.is_err():
            return
        loaded = self._repository.load(self._state, read.ok_value.head)
        if loaded.is_ok():
            self._state = loaded.ok_value


def _refused() -> Result[Confirmation, ConfirmError]:
    return Err(ConfirmError(ConfirmFailure.NOT_ACCEPTED, "the store failed"))
