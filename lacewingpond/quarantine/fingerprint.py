"""Fingerprints, which are equal for repetitions of a request."""

import xxhash


def fingerprint(
    workspace: str, route: str, method: str, path: str, identity: bytes
) -> str:
    """Return the fingerprint of a request, a 128-bit hash in hexadecimal.

    Parameters
    ----------
    workspace, route : str
        Workspace of the caller, and matched route.
    method, path : str
        Method, and path with query.
    identity : bytes
        Idempotency key if there is one, else a digest of the body.
    """
    head = "\x00".join((workspace, route, method, path))
    return xxhash.xxh3_128_hexdigest(head.encode() + b"\x00" + identity)
