"""Reads lists of intents from JSON and finds all that can't be read."""

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.config.intents import Intent
from lacewingpond.util.findings import Finding


class _RawIntents(Struct, forbid_unknown_fields=True):
    """A list whose members are read one by one."""

    intents: tuple[msgspec.Raw, ...]


def read_intents(body: bytes) -> Result[tuple[Intent, ...], tuple[Finding, ...]]:
    """Return the intents, or the first finding of each one that can't be read."""
    try:
        raw = msgspec.json.decode(body, type=_RawIntents)
    except msgspec.DecodeError as exc:
        return Err((_finding("", exc),))
    intents: list[Intent] = []
    findings: list[Finding] = []
    for number, member in enumerate(raw.intents):
        try:
            intents.append(msgspec.json.decode(member, type=Intent))
        except msgspec.DecodeError as exc:
            findings.append(_finding(f"intents[{number}]", exc))
    return Err(tuple(findings)) if findings else Ok(tuple(intents))


def _finding(place: str, exc: msgspec.DecodeError) -> Finding:
    problem, _, path = str(exc).partition(" - at `$")
    within = path.rstrip("`")
    return Finding((place + within).lstrip(".") or "$", problem)
