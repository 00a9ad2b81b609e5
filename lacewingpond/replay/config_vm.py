"""One VM of the configuration scenario, with the real decision classes."""

import random

from result import Result

from lacewingpond.config.confirmation import Confirmation, ConfirmError, Refusal
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.intents import Intent
from lacewingpond.config.options import ConfigOptions
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.config.service import ConfigService
from lacewingpond.config.spread import ConfigSpread
from lacewingpond.peers.memory import MemoryNetwork
from lacewingpond.standin.faulty import FaultyStore
from lacewingpond.store.base import Store, VmRecord
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import Clock


class ReachedVms:
    """A membership view that knows at once whom this VM reaches."""

    __slots__ = ("_vm_id", "_records", "lost")

    def __init__(self, vm_id: str, records: tuple[VmRecord, ...]) -> None:
        self._vm_id = vm_id
        self._records = records
        self.lost: frozenset[str] = frozenset()

    def live(self) -> tuple[VmRecord, ...]:
        """Return the other VMs that are not cut off."""
        return tuple(vm for vm in self._records if self.is_reachable(vm.vm_id))

    def is_reachable(self, vm_id: str) -> bool:
        """Return whether this VM reaches `vm_id`."""
        return vm_id != self._vm_id and vm_id not in self.lost


class ReplayVm:
    """A VM that learns of revisions by watch, pushes and pulls.

    Parameters
    ----------
    record : VmRecord
        This VM.
    records : tuple of VmRecord
        All VMs of the fleet.
    store : Store
        The platform's store; a cut of this VM is played before it.
    network : MemoryNetwork
        Connects the VMs.
    clock : Clock
        The paused clock.
    seed : int
        Seed of the jitter.
    """

    __slots__ = ("record", "holder", "store", "members", "spread", "_service")

    def __init__(
        self,
        record: VmRecord,
        records: tuple[VmRecord, ...],
        store: Store,
        network: MemoryNetwork,
        clock: Clock,
        seed: int,
    ) -> None:
        log = NullDecisionLog()
        self.record = record
        self.holder = ConfigHolder()
        self.store = FaultyStore(store, clock)
        self.members = ReachedVms(record.vm_id, records)
        repository = ConfigRepository(self.store)
        self.spread = ConfigSpread(
            record,
            self.holder,
            repository,
            network.channel(record.vm_id),
            self.members,
            lambda: len(records) - 1,
            ConfigOptions(),
            clock,
            random.Random(f"{seed}/{record.vm_id}"),
            log,
            CountingMetrics(),
        )
        self._service = ConfigService.from_spread(
            self.holder, repository, self.spread, clock, log
        )

    @property
    def revision(self) -> int:
        """Revision in force on this VM."""
        return self.holder.revision

    def start(self) -> None:
        """Begin to learn of revisions."""
        self.spread.start()

    def stop(self) -> None:
        """End it."""
        self.spread.stop()

    def is_isolated(self) -> bool:
        """Return whether this VM refuses keyed routes."""
        return self.spread.is_isolated()

    def accepts(self, key_id: str) -> bool:
        """Return whether a request with this key would be let in."""
        held = any(key.key_id == key_id for key in self.holder.current.keys)
        return held and not self.is_isolated()

    def plan(self, intents: tuple[Intent, ...]) -> str | None:
        """Return the id of a new plan, or None when none was kept."""
        made = self._service.plan(intents)
        return made.ok_value.plan_id if made.is_ok() else None

    def confirm(self, plan_id: str) -> Result[Confirmation, ConfirmError]:
        """Confirm a plan, and again while its outcome is unknown."""
        outcome = self._service.confirm(plan_id)
        if outcome.is_err() and outcome.err_value.refusal is Refusal.UNKNOWN:
            return self._service.confirm(plan_id)
        return outcome
