"""Options of the caller's side."""

from msgspec import Struct


class HttpOptions(Struct, frozen=True):
    """Addresses, limits and timeouts towards callers.

    Parameters
    ----------
    host, port : str, int
        Where to listen; port 0 picks a free one.
    backlog : int
        Connections that the kernel queues before they are accepted.
    max_connections, max_connections_per_address : int
        Connections held at once, in all and from one address. Behind a balancer
        that hides its callers, the address is that of the balancer.
    max_request_line_bytes, max_head_bytes, max_headers : int
        Limits of a request's head.
    max_chunk_line_bytes : int
        Longest chunk size line with its extensions.
    idle_timeout_s : float
        How long a connection is held between two requests.
    head_timeout_s : float
        How long a head may take from its first byte.
    body_timeout_s : float
        Longest wait for the next bytes of a body.
    min_body_bytes_per_s : float
        Least rate of a body, counted while the server waits for the caller and
        only after `body_timeout_s` of waiting.
    write_timeout_s : float
        Longest wait for a caller to take bytes of its answer.
    max_discard_bytes : int
        Unread body that is skipped to keep a connection; a longer one closes it.
    linger_s : float
        How long a refused caller is listened to, so that it can read its answer.
    drain_idle_s : float
        How long a held connection may still bring a request during a drain.
    """

    host: str = "127.0.0.1"
    port: int = 0
    backlog: int = 1024
    max_connections: int = 10_000
    max_connections_per_address: int = 4_000
    max_request_line_bytes: int = 8_192
    max_head_bytes: int = 32_768
    max_headers: int = 100
    max_chunk_line_bytes: int = 256
    idle_timeout_s: float = 600.0
    head_timeout_s: float = 10.0
    body_timeout_s: float = 20.0
    min_body_bytes_per_s: float = 256.0
    write_timeout_s: float = 30.0
    max_discard_bytes: int = 65_536
    linger_s: float = 1.0
    drain_idle_s: float = 2.0
