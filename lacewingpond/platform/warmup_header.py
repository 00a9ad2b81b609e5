"""Decodes the header in which a health response states the remaining warm-up."""

import re

from result import Err, Ok, Result

from lacewingpond.http.headers import Headers

_MILLISECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_MAX_SHOWN_CHARS = 40  # of a value that can't be decoded


class WarmupDecoder:
    """Decodes for how long a target stays cold.

    Parameters
    ----------
    header : str
        Name of the header.
    """

    __slots__ = ("_header",)

    def __init__(self, header: str) -> None:
        self._header = header

    def decode(self, headers: Headers) -> Result[float, str]:
        """Return the stated time in seconds, or why there is none."""
        values = headers.get_all(self._header)
        if len(values) != 1:
            return Err(f"{self._header} given {len(values)} times")
        if not _MILLISECONDS.fullmatch(values[0]):
            shown = values[0][:_MAX_SHOWN_CHARS]
            return Err(f"{self._header} is not a number: {shown!r}")
        return Ok(float(values[0]) / 1000.0)
