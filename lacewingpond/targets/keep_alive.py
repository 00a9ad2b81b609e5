"""Parses the idle timeout that a target states in a Keep-Alive header."""

import math

# Of the stated timeout, up to which a connection is reused: a request must not cross
# the target's close.
REUSE_RATIO = 0.8


def idle_timeout_s(value: str | None) -> float:
    """Return the stated idle timeout in seconds; infinite if none is stated.

    Only whole seconds count, as in RFC 2068, section 19.7.1.1.
    """
    for parameter in (value or "").split(","):
        name, _, text = (part.strip() for part in parameter.partition("="))
        if name.lower() == "timeout" and text.isascii() and text.isdigit():
            return float(text)
    return math.inf
