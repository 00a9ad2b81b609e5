"""Parses the rate limit that a target names in a response."""

import re

from result import Err, Ok, Result

_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
_MAX_SHOWN_CHARS = 40  # of a value that can't be parsed


def parse_limit(values: list[str]) -> Result[float | None, str]:
    """Return the limit that the values of the header name.

    Parameters
    ----------
    values : list of str
        Values of all headers of this name in one response.

    Returns
    -------
    Result of float or None, str
        Requests per second, None if no limit is named, or why the values are invalid.
    """
    if not values:
        return Ok(None)
    if len(values) > 1:
        return Err(f"{len(values)} limits in one response")
    if not _DECIMAL.fullmatch(values[0]):
        return Err(f"not a decimal number: {values[0][:_MAX_SHOWN_CHARS]!r}")
    return Ok(float(values[0]))
