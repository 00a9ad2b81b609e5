"""JSON documents of the operators' API."""

from msgspec import Struct

from lacewingpond.config.diff import DiffLine
from lacewingpond.config.intents import Intent
from lacewingpond.config.model import Config, Key, Route, Service, Workspace
from lacewingpond.config.plan import Plan
from lacewingpond.config.service import PlanStatus
from lacewingpond.util.findings import Finding

PENDING = "pending"
CONFIRMED = "confirmed"


class IntentsRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /intents``."""

    intents: tuple[Intent, ...]


class PlanView(Struct, frozen=True):
    """A plan as shown to operators.

    Parameters
    ----------
    plan_id : str
        Id with which the plan is confirmed.
    state : str
        ``pending`` or ``confirmed``.
    base_revision : int or None
        Revision for which it was made; None if its stored copy has expired.
    revision : int or None
        Revision that it created; None while it is pending.
    diff : tuple of DiffLine
        Changes that it makes.
    warnings : tuple of Finding
        Possible problems of the changes, which do not prevent confirmation.
    """

    plan_id: str
    state: str = PENDING
    base_revision: int | None = None
    revision: int | None = None
    diff: tuple[DiffLine, ...] = ()
    warnings: tuple[Finding, ...] = ()

    @classmethod
    def from_plan(cls, plan: Plan) -> "PlanView":
        """Return the view of `plan`, which is new."""
        return cls(
            plan_id=plan.plan_id,
            base_revision=plan.base_revision,
            diff=plan.diff,
            warnings=plan.warnings,
        )

    @classmethod
    def from_plan_status(cls, plan_id: str, status: PlanStatus) -> "PlanView":
        """Return the view of a plan that is pending or confirmed."""
        plan = status.plan
        return cls(
            plan_id=plan_id,
            state=PENDING if status.revision is None else CONFIRMED,
            base_revision=plan.base_revision if plan else None,
            revision=status.revision,
            diff=plan.diff if plan else (),
            warnings=plan.warnings if plan else (),
        )


class KeyView(Struct, frozen=True):
    """A caller's key, without its digest."""

    key_id: str
    workspace: str

    @classmethod
    def from_key(cls, key: Key) -> "KeyView":
        """Return the view of `key`."""
        return cls(key.key_id, key.workspace)


class ConfigView(Struct, frozen=True):
    """A revision of the configuration, without the digests of keys."""

    revision: int
    workspaces: tuple[Workspace, ...]
    keys: tuple[KeyView, ...]
    services: tuple[Service, ...]
    routes: tuple[Route, ...]

    @classmethod
    def from_config(cls, cfg: Config) -> "ConfigView":
        """Return the view of `cfg`."""
        return cls(
            revision=cfg.revision,
            workspaces=cfg.workspaces,
            keys=tuple(KeyView.from_key(key) for key in cfg.keys),
            services=cfg.services,
            routes=cfg.routes,
        )


class VmStatus(Struct, frozen=True):
    """Status of one VM.

    Parameters
    ----------
    vm_id : str
        Id of the VM.
    failure_domain : str
        Failure domain of the VM.
    revision : int or None
        Its current revision; None if it did not respond.
    store_age_s : float or None
        Seconds since the store responded to any VM, as far as this VM knows; None
        if this VM did not respond.
    isolated : bool
        True while it refuses requests to routes that need a key.
    detail : str
        Why it did not respond; empty if it did.
    """

    vm_id: str
    failure_domain: str
    revision: int | None = None
    store_age_s: float | None = None
    isolated: bool = False
    detail: str = ""


class StatusView(Struct, frozen=True):
    """Status of the fleet, as collected by one VM.

    Parameters
    ----------
    vm_id : str
        VM that collected the status.
    revision : int
        Current revision of that VM.
    fleet_revision : int
        Newest revision known to that VM.
    vms : tuple of VmStatus
        Status of that VM and of all VMs that are live in its view.
    """

    vm_id: str
    revision: int
    fleet_revision: int
    vms: tuple[VmStatus, ...]


class ErrorView(Struct, frozen=True, omit_defaults=True):
    """Why a request was refused.

    Parameters
    ----------
    error : str
        The reason, in one sentence.
    outcome : str
        For a confirmation: ``not-accepted``, ``unknown``, ``conflict`` or
        ``no-plan``. For a plan that could not be stored: ``not-accepted``.
    findings : tuple of Finding
        All problems of the intents.
    changed : tuple of DiffLine
        For a conflict, what has changed since the plan was made.
    """

    error: str
    outcome: str = ""
    findings: tuple[Finding, ...] = ()
    changed: tuple[DiffLine, ...] = ()
