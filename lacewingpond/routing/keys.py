"""Extracts and checks the API key of a request."""

import hashlib
import hmac
from urllib.parse import unquote_plus

from lacewingpond.config.model import Config, Key
from lacewingpond.http.headers import Headers
from lacewingpond.routing.forwarded_headers import headers_to_target

KEY_HEADER = "X-Api-Key"
MAX_KEY_CHARS = 512
MIN_SEARCHED_KEY_CHARS = 8
"""Shorter keys are not searched for, because they occur in ordinary text."""
_BEARER = "bearer"


class KeyTable:
    """API keys by their SHA-256 digest."""

    __slots__ = ("_keys",)

    def __init__(self, keys: dict[str, Key]) -> None:
        self._keys = keys

    @classmethod
    def from_config(cls, cfg: Config) -> "KeyTable":
        """Return the table of all granted keys."""
        return cls({key.digest: key for key in cfg.keys})

    def find(self, key: str) -> Key | None:
        """Return the granted key with the digest of `key`, or None.

        Only digests are compared, so that the time taken reveals nothing about a key.
        """
        digest = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
        found = self._keys.get(digest)
        if found is None or not hmac.compare_digest(found.digest, digest):
            return None
        return found


def presented_key(headers: Headers) -> str | None:
    """Return the API key of a request.

    Returns
    -------
    str or None
        None when there is no key, the key is too long, or several keys differ.
    """
    presented = set(headers.get_all(KEY_HEADER))
    for value in headers.get_all("Authorization"):
        scheme, _, credentials = value.partition(" ")
        if scheme.lower() == _BEARER:
            presented.add(credentials.strip())
    if len(presented) != 1:
        return None
    key = presented.pop()
    return key if 0 < len(key) <= MAX_KEY_CHARS else None


def exposes_key(key: str, path: str, headers: Headers) -> bool:
    """Return whether a target would see a key in the path or in another header.

    Parameters
    ----------
    key : str
        The API key of the request.
    path : str
        Raw path and query.
    headers : Headers
        All headers as sent.
    """
    if len(key) < MIN_SEARCHED_KEY_CHARS:
        return False
    if key in path or "%" in path and key in unquote_plus(path, "latin-1"):
        return True
    if sum(key in value for _, value in headers) < 2:
        return False
    return any(key in value for _, value in headers_to_target(headers))
