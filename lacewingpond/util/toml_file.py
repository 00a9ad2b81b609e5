"""Reads TOML files."""

import tomllib
from pathlib import Path

from result import Err, Ok, Result

from lacewingpond.util.findings import Finding


def read_toml(path: Path) -> Result[dict[str, object], Finding]:
    """Return the content of the file at `path`, or why it can't be read."""
    try:
        return Ok(tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as exc:
        return Err(Finding(str(path), exc.strerror or "can't be read"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        return Err(Finding(str(path), f"is not valid TOML: {exc}"))
