"""The JSON documents of the operators' API."""

from msgspec import Struct

from lacewingpond.config.diff import DiffLine
from lacewingpond.config.intents import Intent
from lacewingpond.config.model import Config, Key, Route, Service, Workspace
from lacewingpond.config.plan import Plan
from lacewingpond.config.service import KnownPlan
from lacewingpond.util.findings import Finding

PENDING = "pending"
CONFIRMED = "confirmed"


class IntentsRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /intents``."""

    intents: tuple[Intent, ...]


class PlanView(Struct, frozen=True):
    """A plan as operators see it.

    Parameters
    ----------
    plan_id : str
        Confirms the plan.
    state : str
        ``pending`` or ``confirmed``.
    base_revision : int or None
        Revision that it was made for, if still known.
    revision : int or None
        Revision that it made.
    diff, warnings
        What it changes, and what should be known first.
    """

    plan_id: str
    state: str = PENDING
    base_revision: int | None = None
    revision: int | None = None
    diff: tuple[DiffLine, ...] = ()
    warnings: tuple[Finding, ...] = ()

    @classmethod
    def from_plan(cls, plan: Plan) -> "PlanView":
        """Return the view of a new plan."""
        return cls(
            plan_id=plan.plan_id,
            base_revision=plan.base_revision,
            diff=plan.diff,
            warnings=plan.warnings,
        )

    @classmethod
    def from_known(cls, plan_id: str, known: KnownPlan) -> "PlanView":
        """Return the view of a plan that may be confirmed."""
        plan = known.plan
        return cls(
            plan_id=plan_id,
            state=PENDING if known.revision is None else CONFIRMED,
            base_revision=plan.base_revision if plan else None,
            revision=known.revision,
            diff=plan.diff if plan else (),
            warnings=plan.warnings if plan else (),
        )


class KeyView(Struct, frozen=True):
    """A key without its digest."""

    key_id: str
    workspace: str

    @classmethod
    def from_key(cls, key: Key) -> "KeyView":
        """Return the view of `key`."""
        return cls(key.key_id, key.workspace)


class ConfigView(Struct, frozen=True):
    """The configuration without digests."""

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
    """What is known of one VM.

    Parameters
    ----------
    vm_id, failure_domain : str
        Which VM.
    revision : int or None
        Revision in force there; None when it did not answer.
    store_age_s : float or None
        How long ago it, or a VM that it heard, heard the store.
    isolated : bool
        True when it refuses routes that need a key.
    detail : str
        Why it did not answer.
    """

    vm_id: str
    failure_domain: str
    revision: int | None = None
    store_age_s: float | None = None
    isolated: bool = False
    detail: str = ""


class StatusView(Struct, frozen=True):
    """Revisions over the fleet, as one VM knows them."""

    vm_id: str
    revision: int
    fleet_revision: int
    vms: tuple[VmStatus, ...]


class ErrorView(Struct, frozen=True, omit_defaults=True):
    """Why a request was refused.

    Parameters
    ----------
    error : str
        One sentence.
    outcome : str
        For a confirmation: ``not-accepted``, ``unknown``, ``conflict`` or
        ``no-plan``.
    findings : tuple of Finding
        All that is wrong with intents.
    changed : tuple of DiffLine
        For a conflict, what has changed since the plan was made.
    """

    error: str
    outcome: str = ""
    findings: tuple[Finding, ...] = ()
    changed: tuple[DiffLine, ...] = ()
