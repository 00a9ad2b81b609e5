"""Findings of the check, with a level, and the exit status that follows from them."""

from collections.abc import Iterable
from enum import Enum

from msgspec import Struct

from lacewingpond.util.findings import Finding

CLEAN_STATUS = 0
WARNINGS_STATUS = 1
ERRORS_STATUS = 2


class Level(Enum):
    """Severity of a finding; a difference is information only."""

    ERROR = "error"
    WARNING = "warning"
    DIFFERENCE = "difference"


class ConfigFinding(Struct, frozen=True):
    """One finding and its location.

    Parameters
    ----------
    level : Level
        Severity.
    place : str
        Path within the document; empty for the whole document. The place of a
        difference consists of the kind, name and field of what differs.
    problem : str
        What is wrong or different, in one sentence without any key.
    """

    level: Level
    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.level.value}: {self.place}: {self.problem}"


def error(place: str, problem: str) -> ConfigFinding:
    """Return an error at `place`."""
    return ConfigFinding(Level.ERROR, place, problem)


def warning(place: str, problem: str) -> ConfigFinding:
    """Return a warning at `place`."""
    return ConfigFinding(Level.WARNING, place, problem)


def difference(place: str, problem: str) -> ConfigFinding:
    """Return a difference at `place`."""
    return ConfigFinding(Level.DIFFERENCE, place, problem)


def from_fault(fault: Finding) -> ConfigFinding:
    """Return the error for a part of the document that can't be decoded."""
    return error(fault.place, fault.problem)


def exit_status(findings: Iterable[ConfigFinding]) -> int:
    """Return 0 without errors and warnings, 1 with warnings only, 2 with errors."""
    levels = {finding.level for finding in findings}
    if Level.ERROR in levels:
        return ERRORS_STATUS
    return WARNINGS_STATUS if Level.WARNING in levels else CLEAN_STATUS
