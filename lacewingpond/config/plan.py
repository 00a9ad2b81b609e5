"""Plans: what a list of intents would change, before anything changes."""

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
        Derived from the base revision and the intents.
    base_revision : int
        Revision that the plan was made for; it can be confirmed only on it.
    intents : tuple of Intent
        What was asked for.
    diff : tuple of DiffLine
        What a confirmation changes.
    warnings : tuple of Finding
        What does not stand in the way but should be known.
    """

    plan_id: str
    base_revision: int
    intents: tuple[Intent, ...]
    diff: tuple[DiffLine, ...]
    warnings: tuple[Finding, ...] = ()


def plan(cfg: Config, intents: tuple[Intent, ...]) -> Result[Plan, tuple[Finding, ...]]:
    """Check `intents` against `cfg`; all findings are returned together."""
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
    """Return what `intents` change in `cfg`, or why they can't be applied."""
    return _draft(cfg, intents).map(Draft.changes)


def plan_id_of(base_revision: int, intents: tuple[Intent, ...]) -> str:
    """Return the id of the plan of `intents` for a revision."""
    content = msgspec.msgpack.encode((base_revision, intents))
    return hashlib.blake2b(content, digest_size=PLAN_ID_BYTES).hexdigest()


def _draft(
    cfg: Config, intents: tuple[Intent, ...]
) -> Result[Draft, tuple[Finding, ...]]:
    if not intents:
        return Err((Finding("intents", "there are none"),))
    draft = Draft.from_intents(cfg, intents)
    findings = (*draft.findings, *find_problems(draft))
    return Err(findings) if findings else Ok(draft)
