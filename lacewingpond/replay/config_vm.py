"""VM of the configuration scenario that runs the daemon's decision classes."""

import random

from result import Result

from lacewingpond.config.confirmation import Confirmation, ConfirmError, ConfirmFailure
from lacewingpond.config.distributor import ConfigDistributor
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.intents import Intent
from lacewingpond.config.options import ConfigOptions
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.config.service import ConfigService
from lacewingpond.peers.memory import MemoryNetwork
from lacewingpond.standin.faulty_store import FaultyStore
from lacewingpond.store.base import Store, VmRecord
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import Clock


class ReachableVms:
    """Membership view that is always up to date, as the replayer sets it.

    Parameters
    ----------
    vm_id : str
        This VM.
    records : tuple of VmRecord
        All VMs of the fleet.

    Attributes
    ----------
    unreachable : frozenset of str
        Ids of the VMs that this VM is cut off from.
    """

    __slots__ = ("_vm_id", "_records", "unreachable")

    def __init__(self, vm_id: str, records: tuple[VmRecord, ...]) -> None:
        self._vm_id = vm_id
        self._records = records
        self.unreachable: frozenset[str] = frozenset()

    def live(self) -> tuple[VmRecord, ...]:
        """Return the other VMs that this VM can reach."""
        return tuple(vm for vm in self._records if self.is_reachable(vm.vm_id))

    def is_reachable(self, vm_id: str) -> bool:
        """Return whether `vm_id` is another VM that this VM can reach."""
        return vm_id != self._vm_id and vm_id not in self.unreachable


class ReplayVm:
    """A VM that learns of revisions by watching the store, pushes and pulls.

    Parameters
    ----------
    record : VmRecord
        This VM.
    records : tuple of VmRecord
        All VMs of the fleet.
    store : Store
        The platform's store; the VM's own connection to it can fail.
    network : MemoryNetwork
        Connects the VMs.
    clock : Clock
        Clock of the replay.
    seed : int
        Seed of the jitter, together with the VM's id.
    """

    __slots__ = ("record", "holder", "store", "members", "distributor", "_service")

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
        self.members = ReachableVms(record.vm_id, records)
        repository = ConfigRepository(self.store)
        self.distributor = ConfigDistributor(
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
        self._service = ConfigService.from_distributor(
            self.holder, repository, self.distributor, clock, log
        )

    @property
    def revision(self) -> int:
        """Current revision of this VM."""
        return self.holder.revision

    def start(self) -> None:
        """Start learning of revisions."""
        self.distributor.start()

    def stop(self) -> None:
        """Stop learning of revisions."""
        self.distributor.stop()

    def is_isolated(self) -> bool:
        """Return whether this VM is isolated and so refuses routes that need a key."""
        return self.distributor.is_isolated()

    def accepts(self, key_id: str) -> bool:
        """Return whether a request with this key would be admitted."""
        is_granted = any(key.key_id == key_id for key in self.holder.current.keys)
        return is_granted and not self.is_isolated()

    def plan(self, intents: tuple[Intent, ...]) -> str | None:
        """Return the id of a new plan, or None if it was not stored."""
        planned = self._service.plan(intents)
        return planned.ok_value.plan_id if planned.is_ok() else None

    def confirm(self, plan_id: str) -> Result[Confirmation, ConfirmError]:
        """Confirm a plan, and once more if the outcome is unknown.

        Returns the confirmation, or the error of the last attempt.
        """
        outcome = self._service.confirm(plan_id)
        if outcome.is_err() and outcome.err_value.refusal is ConfirmFailure.UNKNOWN:
            return self._service.confirm(plan_id)
        return outcome
