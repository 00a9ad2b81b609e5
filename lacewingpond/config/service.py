"""Operations on the configuration that a VM offers to operators."""

from collections.abc import Callable

from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.confirmation import Confirmation, ConfirmError
from lacewingpond.config.confirmer import Confirmer
from lacewingpond.config.distributor import ConfigDistributor
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.intents import Intent
from lacewingpond.config.model import Config
from lacewingpond.config.plan import Plan, plan
from lacewingpond.config.repository import ConfigRepository, describe_store_error
from lacewingpond.store.base import StoreError
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.findings import Finding


class PlanError(Struct, frozen=True):
    """Why no plan was made from a list of intents.

    Parameters
    ----------
    findings : tuple of Finding
        Problems of the intents; empty when the store failed.
    detail : str
        Failure of the store; empty when the intents have problems.
    """

    findings: tuple[Finding, ...] = ()
    detail: str = ""


class PlanStatus(Struct, frozen=True):
    """A plan and whether it is confirmed.

    Parameters
    ----------
    plan : Plan or None
        The plan; None when it was confirmed and its stored copy has expired.
    revision : int or None
        Revision that it created; None while it is pending.
    """

    plan: Plan | None
    revision: int | None


class ConfigService:
    """Plans and confirms changes, and returns the configuration.

    Parameters
    ----------
    holder : ConfigHolder
        Current revision of this VM.
    repository : ConfigRepository
        Stores pending plans.
    confirmer : Confirmer
        Applies plans.
    catch_up : callable
        Reads the head from the store and applies it on this VM.
    announce : callable
        Pushes the current revision of this VM to other VMs.
    """

    __slots__ = ("_holder", "_repository", "_confirmer", "_catch_up", "_announce")

    def __init__(
        self,
        holder: ConfigHolder,
        repository: ConfigRepository,
        confirmer: Confirmer,
        catch_up: Callable[[], Result[object, StoreError]],
        announce: Callable[[], None],
    ) -> None:
        self._holder = holder
        self._repository = repository
        self._confirmer = confirmer
        self._catch_up = catch_up
        self._announce = announce

    @classmethod
    def from_distributor(
        cls,
        holder: ConfigHolder,
        repository: ConfigRepository,
        distributor: ConfigDistributor,
        clock: Clock,
        log: DecisionLog,
    ) -> "ConfigService":
        """Return the service of a VM whose configuration comes from `distributor`."""
        confirmer = Confirmer(
            repository, holder, clock, log, distributor.fleet_revision
        )
        return cls(
            holder, repository, confirmer, distributor.catch_up, distributor.announce
        )

    @property
    def current(self) -> Config:
        """The current configuration of this VM."""
        return self._holder.current

    def plan(self, intents: tuple[Intent, ...]) -> Result[Plan, PlanError]:
        """Return the plan of `intents` for the newest revision, and store it.

        As the plan is in the store, its id is enough to confirm it on any VM.
        """
        newest = self._catch_up()
        if newest.is_err():
            return Err(PlanError(detail=describe_store_error(newest.err_value)))
        made = plan(self._holder.current, intents)
        if made.is_err():
            return Err(PlanError(findings=made.err_value))
        saved = self._repository.save_plan(made.ok_value)
        if saved.is_err():
            return Err(PlanError(detail=describe_store_error(saved.err_value)))
        return made

    def confirm(self, plan_id: str) -> Result[Confirmation, ConfirmError]:
        """Apply a plan once; confirming an applied plan again returns its revision."""
        before = self._holder.revision
        outcome = self._confirmer.confirm(plan_id)
        if self._holder.revision > before:
            self._announce()
        return outcome

    def find_plan(self, plan_id: str) -> Result[PlanStatus | None, StoreError]:
        """Return a plan and whether it is confirmed; None when it is unknown."""
        head = self._repository.read_head()
        if head.is_err():
            return head
        confirmed = head.ok_value.head.confirmed(plan_id)
        found = self._repository.read_plan(plan_id)
        if found.is_err():
            return found
        if found.ok_value is None and confirmed is None:
            return Ok(None)
        revision = confirmed.revision if confirmed else None
        return Ok(PlanStatus(found.ok_value, revision))
