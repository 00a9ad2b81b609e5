"""One line of a daemon's log."""

import msgspec
from msgspec import Struct, field
from result import Err, Ok, Result


class LogLine(Struct, frozen=True):
    """A decision as it was logged.

    Parameters
    ----------
    at : float
        Seconds since the Unix epoch, by the VM's clock.
    vm : str
        Which VM logged it.
    what, which, why : str
        What was decided, about which thing, and why.
    fields : dict of str to object
        What else the line holds.
    """

    at: float
    vm: str
    what: str
    which: str
    why: str
    fields: dict[str, object] = field(default_factory=dict)


KNOWN = frozenset({"t", "vm", "what", "which", "why"})


def parse_line(text: str) -> Result[LogLine, str]:
    """Return the decision in `text`, which collectors may have put a prefix before."""
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
                fields={k: v for k, v in raw.items() if k not in KNOWN},
            )
        )
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
        return Err(f"{type(exc).__name__}: {exc}")
