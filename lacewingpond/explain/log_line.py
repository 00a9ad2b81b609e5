"""Parses lines of a daemon's log."""

import msgspec
from msgspec import Struct, field
from result import Err, Ok, Result


class LogLine(Struct, frozen=True):
    """A logged decision.

    Parameters
    ----------
    at : float
        Time by the VM's clock, in seconds since the Unix epoch.
    vm : str
        VM that logged the line.
    what, which, why : str
        Event, the object that it is about, and the reason.
    fields : dict of str to object
        All other fields of the line.
    """

    at: float
    vm: str
    what: str
    which: str
    why: str
    fields: dict[str, object] = field(default_factory=dict)


LINE_KEYS = frozenset({"t", "vm", "what", "which", "why"})


def parse_line(text: str) -> Result[LogLine, str]:
    """Return the decision in a log line, or why it can't be read.

    Text before the JSON object, such as the prefix of a log collector, is skipped.
    """
    start = text.find("{")
    if start < 0:
        return Err("no JSON object")
    try:
        raw = msgspec.json.decode(text[start:].strip(), type=dict[str, object])
        return Ok(
            LogLine(
                at=float(raw["t"]),
                vm=str(raw["vm"]),
                what=str(raw["what"]),
                which=str(raw["which"]),
                why=str(raw["why"]),
                fields={k: v for k, v in raw.items() if k not in LINE_KEYS},
            )
        )
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
        return Err(f"{type(exc).__name__}: {exc}")
