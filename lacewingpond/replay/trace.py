"""The trace file: JSON lines, a header and then events in order of time."""

from pathlib import Path

import msgspec
from msgspec import Struct

from lacewingpond.util.errors import UserError


class Expectation(Struct, frozen=True, omit_defaults=True):
    """A bound that a measure must keep, taken from a stated target.

    Parameters
    ----------
    measure : str
        Name of a measure that the player reports.
    at_most, at_least : float or None
        Inclusive bounds.
    below_naive : bool
        True when the measure must be lower than that of the naive variant.
    """

    measure: str
    at_most: float | None = None
    at_least: float | None = None
    below_naive: bool = False


class TraceHeader(Struct, frozen=True, omit_defaults=True):
    """First line of a trace.

    Parameters
    ----------
    scenario : str
        Name of the player that understands the events.
    title : str
        What the trace shows, in one line.
    seed : int
        Seed of the generator and of the player's random choices.
    expect : tuple of Expectation
        Outcomes that must hold for the real decisions.
    params : dict
        Settings of the player, by name.
    """

    scenario: str
    title: str
    seed: int
    expect: tuple[Expectation, ...] = ()
    params: dict[str, float | int | str] = {}


class TraceEvent(Struct, frozen=True, omit_defaults=True):
    """One event of a trace.

    Parameters
    ----------
    at : float
        Seconds since the start of the trace.
    kind : str
        What happens; the player's page in the docs lists its kinds.
    subject : str
        VM, target or workspace that it happens to.
    fields : dict
        Further values, by name.
    """

    at: float
    kind: str
    subject: str = ""
    fields: dict[str, float | int | str | bool] = {}


class Trace(Struct, frozen=True):
    """A header and its events."""

    header: TraceHeader
    events: tuple[TraceEvent, ...]

    @classmethod
    def from_file(cls, path: Path) -> "Trace":
        """Read a trace.

        Raises
        ------
        UserError
            With the file and line of what can't be read.
        """
        try:
            lines = path.read_bytes().splitlines()
        except OSError as exc:
            raise UserError(f"{path}: {exc.strerror}") from exc
        if not lines:
            raise UserError(f"{path}: empty trace")
        header = _decode(path, 1, lines[0], TraceHeader)
        events = tuple(
            _decode(path, number, line, TraceEvent)
            for number, line in enumerate(lines[1:], start=2)
            if line.strip()
        )
        return cls(header=header, events=events)

    def to_bytes(self) -> bytes:
        """Return the trace as JSON lines."""
        encoder = msgspec.json.Encoder()
        return encoder.encode_lines([self.header, *self.events])


def _decode(path: Path, number: int, line: bytes, kind: type) -> Struct:
    try:
        return msgspec.json.decode(line, type=kind)
    except msgspec.DecodeError as exc:
        raise UserError(f"{path}:{number}: {exc}") from exc
