"""Timestamp of UUIDv7 keys (RFC 9562, section 5.7)."""

import uuid

UUID7_VERSION = 7
UNIX_MS_SHIFT_BITS = 80


def key_date(key: str) -> float | None:
    """Return the creation time of a key, in seconds since the Unix epoch.

    Returns
    -------
    float or None
        None when the key is not a UUIDv7 in its canonical form.
    """
    try:
        key_uuid = uuid.UUID(key)
    except ValueError:
        return None
    if str(key_uuid) != key.lower() or key_uuid.version != UUID7_VERSION:
        return None
    return (key_uuid.int >> UNIX_MS_SHIFT_BITS) / 1000.0
