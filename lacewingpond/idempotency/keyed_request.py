"""A complete request with an idempotency key."""

import xxhash
from msgspec import Struct

CREDENTIAL_FIELDS = frozenset({"authorization", "cookie"})


class KeyedRequest(Struct, frozen=True, array_like=True):
    """A request that is forwarded to the owner of its key.

    Parameters
    ----------
    workspace, key : str
        Workspace, empty on open routes, and key; together they identify the request.
    route : str
        Name of the route that the entry VM matched.
    method, path : str
        HTTP method, and path with query.
    headers : tuple of tuple of str
        Names and values, without the caller's key and hop-by-hop headers.
    body : bytes
        The complete body.
    timeout_s : float
        Time that the caller waits, in seconds.
    host : str
        Lower-case host name without port.
    """

    workspace: str
    key: str
    route: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_s: float = 10.0
    host: str = ""

    @property
    def name(self) -> str:
        """Workspace and key in one string."""
        return f"{self.workspace}\x00{self.key}"

    def fingerprint(self) -> bytes:
        """Return a digest of method, host, path and body.

        Without a workspace the caller's credentials for the target are included.
        """
        digest = xxhash.xxh3_128()
        digest.update(f"{self.method}\x00{self.host}\x00{self.path}\x00".encode())
        if not self.workspace:
            digest.update(f"{self._credentials()}\x00".encode())
        digest.update(self.body)
        return digest.digest()

    def _credentials(self) -> list[str]:
        """Return the header values that tell callers of an open route apart."""
        return [v for name, v in self.headers if name.lower() in CREDENTIAL_FIELDS]
