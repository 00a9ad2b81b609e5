"""Options of the HTTP server for callers."""

from msgspec import Struct


class HttpOptions(Struct, frozen=True):
    """Address, limits and timeouts of the HTTP server for callers.

    Parameters
    ----------
    host, port : str, int
        IP address and port to listen on; port 0 selects a free port.
    backlog : int
        Connections that the kernel queues before they are accepted.
    max_connections, max_connections_per_address : int
        Most open connections, in total and from one address. Behind a load balancer
        that hides its callers' addresses, the address is that of the balancer.
    max_request_line_bytes, max_head_bytes, max_headers : int
        Limits of the request line and headers.
    max_chunk_line_bytes : int
        Longest chunk size line, extensions included.
    idle_timeout_s : float
        Longest time that a connection is kept open between two requests.
    head_timeout_s : float
        Longest time from the first byte of a request to the end of its headers.
    body_timeout_s : float
        Longest wait for the next bytes of a body.
    min_body_bytes_per_s : float
        Lowest average rate of a body. Only time in which the server waits for the
        caller counts, and the limit applies after `body_timeout_s` of waiting.
    max_pipelined : int
        Most requests of one connection that are handled at the same time; 1 handles
        them one after the other.
    max_pipelined_total : int
        Most requests of all connections that are handled before their turn.
    max_pipelined_bytes : int
        Bytes of responses waiting for an earlier one at which no further request of
        their connection is read.
    write_timeout_s : float
        Longest wait for a caller to accept bytes of its response.
    max_discard_bytes : int
        Most bytes of an unread body that are read and dropped to reuse the
        connection; with a longer rest it is closed.
    linger_s : float
        How long to read from a refused caller, so that it can read its response.
    drain_idle_s : float
        How long an idle connection may still send a request during a drain.
    drain_head_s : float
        Time in a drain after which a request is refused whose headers have not
        arrived before, since the end of the drain could abort it.
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
    max_pipelined: int = 8
    max_pipelined_total: int = 256
    max_pipelined_bytes: int = 262_144
    write_timeout_s: float = 30.0
    max_discard_bytes: int = 65_536
    linger_s: float = 1.0
    drain_idle_s: float = 2.0
    drain_head_s: float = 4.0
