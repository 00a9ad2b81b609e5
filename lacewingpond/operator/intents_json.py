"""Parses lists of intents from JSON and reports each invalid intent."""

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.intents import Intent
from lacewingpond.util.findings import Finding


class _RawIntents(Struct, forbid_unknown_fields=True):
    """Body whose intents are left encoded, so that each one is checked by itself."""

    intents: tuple[msgspec.Raw, ...]


def read_intents(body: bytes) -> Result[tuple[Intent, ...], tuple[Finding, ...]]:
    """Return the intents in `body`, or one finding for each invalid intent."""
    try:
        raw = msgspec.json.decode(body, type=_RawIntents)
    except msgspec.DecodeError as exc:
        return Err((_finding("", exc),))
    intents: list[Intent] = []
    findings: list[Finding] = []
    for index, item in enumerate(raw.intents):
        try:
            intents.append(msgspec.json.decode(item, type=Intent))
        except msgspec.DecodeError as exc:
            findings.append(_finding(f"intents[{index}]", exc))
    return Err(tuple(findings)) if findings else Ok(tuple(intents))


def _finding(place: str, exc: msgspec.DecodeError) -> Finding:
    problem, _, path = str(exc).partition(" - at `$")
    subpath = path.rstrip("`")
    return Finding((place + subpath).lstrip(".") or "$", problem)
