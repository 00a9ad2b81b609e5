"""A VM that polls the store, beside the real one of the configuration scenario."""

import random

import gevent
from result import Err, Ok, Result

from lacewingpond.config.confirmation import Confirmation, ConfirmError, Refusal
from lacewingpond.config.intents import Intent
from lacewingpond.config.plan import plan, planned_changes
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.config.state import ConfigState
from lacewingpond.peers.memory import MemoryNetwork
from lacewingpond.replay.config_vm import ReachedVms
from lacewingpond.standin.faulty import FaultyStore
from lacewingpond.store.base import Store, VmRecord
from lacewingpond.util.clock import Clock

POLL_S = 5.0


class PollingVm:
    """A VM that polls the head every `POLL_S` and applies what it finds.

    It has no peers, takes a lost answer for a failure and follows a store that
    came back older.
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
        self.members = ReachedVms(record.vm_id, records)
        self._state = ConfigState.empty()
        self._repository = ConfigRepository(self.store)
        self._clock = clock
        self._rng = random.Random(f"{seed}/{record.vm_id}")
        self._greenlet: gevent.Greenlet | None = None

    @property
    def revision(self) -> int:
        """Revision in force on this VM."""
        return self._state.revision

    def start(self) -> None:
        """Begin to poll."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End it."""
        gevent.kill(self._greenlet)

    def is_isolated(self) -> bool:
        """Return False; this VM never doubts what it holds."""
        return False

    def accepts(self, key_id: str) -> bool:
        """Return whether a request with this key would be let in."""
        return any(key.key_id == key_id for key in self._state.cfg.keys)

    def plan(self, intents: tuple[Intent, ...]) -> str | None:
        """Return the id of a new plan, or None when none was kept."""
        self._poll()
        made = plan(self._state.cfg, intents)
        if made.is_err() or self._repository.save_plan(made.ok_value).is_err():
            return None
        return made.ok_value.plan_id

    def confirm(self, plan_id: str) -> Result[Confirmation, ConfirmError]:
        """Confirm a plan; any failure is taken for a refusal."""
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
        state = loaded.ok_value.changed(planned.ok_value, plan_id)
        refs = loaded.ok_value.missing(state.head)
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
    return Err(ConfirmError(Refusal.NOT_ACCEPTED, "the store failed"))
