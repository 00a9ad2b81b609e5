"""Generation of callers' keys; the configuration holds only their digests."""

import hashlib
import secrets

KEY_BYTES = 24


def new_key() -> str:
    """Return a new random key; it is not stored, so show it to its owner now."""
    return secrets.token_urlsafe(KEY_BYTES)


def key_digest(key: str) -> str:
    """Return the lower-case hex SHA-256 of `key`."""
    return hashlib.sha256(key.encode()).hexdigest()
