"""What a script writes to its record."""

import time
from pathlib import Path


class Record:
    """Lines with seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line and print it."""
        print(text, flush=True)
        self.line(text)
