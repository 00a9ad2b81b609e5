"""Plans: the checked result of a list of intents, before it is applied."""

import hashlib

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.changes import Changes
from lacewingpond.config.checks import find_problems, find_warnings
from lacewingpond.config.diff import DiffLine, diff_lines
from lacewingpond.config.draft import Draft
from lacewingpond.config.intents import Intent
from lacewingpond.config.model import Config
from lacewingpond.util.findings import Finding

PLAN_ID_BYTES = 12


class Plan(Struct, frozen=True):
    """A checked list of intents against one revision.

    Parameters
    ----------
    plan_id : str
        Id derived from the base revision and the intents.
    base_revision : int
        Revision that the plan was made for. The plan can be confirmed only while
        this is the current revision.
    intents : tuple of Intent
        The requested changes.
    diff : tuple of DiffLine
        The items that the plan changes.
    warnings : tuple of Finding
        Problems that don't prevent a confirmation.
    """

    plan_id: str
    base_revision: int
    intents: tuple[Intent, ...]
    diff: tuple[DiffLine, ...]
    warnings: tuple[Finding, ...] = ()


def plan(cfg: Config, intents: tuple[Intent, ...]) -> Result[Plan, tuple[Finding, ...]]:
    """Return the plan of `intents` for `cfg`, or all findings that prevent it."""
    drafted = _draft(cfg, intents)
    if drafted.is_err():
        return drafted
    draft = drafted.ok_value
    lines = diff_lines(draft.find_before, draft.changes())
    warnings = find_warnings(draft)
    if not lines:
        warnings += (Finding("intents", "nothing changes"),)
    plan_id = plan_id_of(cfg.revision, intents)
    return Ok(Plan(plan_id, cfg.revision, intents, lines, warnings))


def planned_changes(
    cfg: Config, intents: tuple[Intent, ...]
) -> Result[Changes, tuple[Finding, ...]]:
    """Return what `intents` change in `cfg`, or all findings that prevent it."""
    return _draft(cfg, intents).map(Draft.changes)


def plan_id_of(base_revision: int, intents: tuple[Intent, ...]) -> str:
    """Return the id of the plan of `intents` for `base_revision`."""
    content = msgspec.msgpack.encode((base_revision, intents))
    return hashlib.blake2b(content, digest_size=PLAN_ID_BYTES).hexdigest()


def _draft(
    cfg: Config, intents: tuple[Intent, ...]
) -> Result[Draft, tuple[Finding, ...]]:
    if not intents:
        return Err((Finding("intents", "must not be empty"),))
    draft = Draft.from_intents(cfg, intents)
    findings = (*draft.findings, *find_problems(draft))
    return Err(findings) if findings else Ok(draft)
