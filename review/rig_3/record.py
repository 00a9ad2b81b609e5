"""Record of a case: what was sent, answered and run, with times."""

import time
from pathlib import Path


class Record:
    """Collects lines, each with the seconds since the start, and writes them.

    Parameters
    ----------
    path : Path
        File that `save` writes.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._started = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now():8.3f}  {text}")

    def save(self) -> None:
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
