"""Trace files: JSON lines, with a header followed by events in order of time."""

from pathlib import Path

import msgspec
from msgspec import Struct

from lacewingpond.util.errors import UserError


class Expectation(Struct, frozen=True, omit_defaults=True):
    """A bound on a measure, taken from a documented target.

    Parameters
    ----------
    measure : str
        Name of a measure that the replayer reports.
    at_most, at_least : float or None
        Inclusive bounds; None for no bound.
    below_naive : bool
        Whether the measure must be lower than that of the naive variant.
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
        Name of the scenario, which selects the replayer.
    title : str
        One line on what the trace shows.
    seed : int
        Seed of the generator and of the replayer's random choices.
    expect : tuple of Expectation
        Bounds that the current variant must keep.
    params : dict
        Settings of the replayer, by name.
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
        What happens; each replayer has its own kinds, listed on its page in the
        docs.
    subject : str
        VM, target or workspace that the event affects; empty if there is none.
    fields : dict
        Parameters of the event, by name.
    """

    at: float
    kind: str
    subject: str = ""
    fields: dict[str, float | int | str | bool] = {}


class Trace(Struct, frozen=True):
    """A header and the events of a replay."""

    header: TraceHeader
    events: tuple[TraceEvent, ...]

    @classmethod
    def from_file(cls, path: Path) -> "Trace":
        """Return the trace read from a file.

        Raises
        ------
        UserError
            If the file can't be read, is empty or has an invalid line; the message
            names the file, and the line if one is invalid.
        """
        try:
            lines = path.read_bytes().splitlines()
        except OSError as exc:
            raise UserError(f"{path}: {exc.strerror}") from exc
        if not lines:
            raise UserError(f"{path}: the trace is empty")
        header = _decode(path, 1, lines[0], TraceHeader)
        events = tuple(
            _decode(path, number, line, TraceEvent)
            for number, line in enumerate(lines[1:], start=2)
            if line.strip()
        )
        return cls(header=header, events=events)

    def to_bytes(self) -> bytes:
        """Return the trace encoded as JSON lines."""
        encoder = msgspec.json.Encoder()
        return encoder.encode_lines([self.header, *self.events])


def _decode(path: Path, number: int, line: bytes, kind: type) -> Struct:
    try:
        return msgspec.json.decode(line, type=kind)
    except msgspec.DecodeError as exc:
        raise UserError(f"{path}:{number}: {exc}") from exc
