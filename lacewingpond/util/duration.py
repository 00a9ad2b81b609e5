"""Durations written as a number with a unit."""

import re

_DURATION = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)(ms|s)")
_SECONDS = {"ms": 0.001, "s": 1.0}


def parse_duration(text: object) -> float:
    """Return the seconds of a duration such as ``1500ms`` or ``2.5s``.

    Raises
    ------
    ValueError
        If `text` is not such a duration.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is not a duration such as 1500ms or 2.5s")
    return float(match[1]) * _SECONDS[match[2]]
