"""Names a request so that its repeats have the same name."""

import xxhash


def fingerprint(
    workspace: str, route: str, method: str, path: str, identity: bytes
) -> str:
    """Return the fingerprint of a request.

    Parameters
    ----------
    workspace, route : str
        Workspace of the caller and matched route.
    method, path : str
        Method, and path with query.
    identity : bytes
        The idempotency key if there is one, else a digest of the body.
    """
    head = "\x00".join((workspace, route, method, path))
    return xxhash.xxh3_128_hexdigest(head.encode() + b"\x00" + identity)
