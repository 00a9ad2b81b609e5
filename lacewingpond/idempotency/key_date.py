"""The date inside a UUIDv7 key (RFC 9562, section 5.7)."""

import uuid

UUID7_VERSION = 7
UNIX_MS_SHIFT_BITS = 80


def key_date(key: str) -> float | None:
    """Return when a key was made in seconds since the Unix epoch.

    Returns
    -------
    float or None
        None when the key is not a UUIDv7 in its canonical form.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if str(parsed) != key.lower() or parsed.version != UUID7_VERSION:
        return None
    return (parsed.int >> UNIX_MS_SHIFT_BITS) / 1000.0
