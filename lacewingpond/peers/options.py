"""Options of the peer channel."""

from msgspec import Struct


class PeerOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and timeouts of the connections between VMs.

    Parameters
    ----------
    host, port : str, int
        IP address and port to listen on; port 0 selects a free port.
    max_frame_bytes : int
        Maximum size of a frame in either direction.
    max_array_items : int
        Maximum length of an array or map within a frame.
    send_queue_messages : int
        Maximum number of messages queued for one connection.
    max_unsent_answer_bytes : int
        Maximum size of the responses queued for a peer; beyond it the connection is
        closed.
    max_connections : int
        Maximum number of accepted connections.
    max_handlers : int
        Maximum number of messages handled concurrently, over all connections.
    connect_timeout_s, handshake_timeout_s : float
        Timeout of connecting, and of each read and write of the handshake, in
        seconds.
    write_timeout_s : float
        A connection is closed when sent bytes stay unacknowledged for this time.
    redial_delay_s : float
        Shortest time between failed attempts to connect to one VM.
    idle_close_s : float
        A connection that was unused for this time is closed.
    expiry_interval_s : float
        Interval of the checks for timed-out calls, while calls wait.
    flush_interval_s : float
        Interval of the checks for idle connections and of traffic metrics.
    """

    host: str = "127.0.0.1"
    port: int = 0
    max_frame_bytes: int = 1 << 20
    max_array_items: int = 16_384
    send_queue_messages: int = 1_024
    max_unsent_answer_bytes: int = 8_000_000
    max_connections: int = 1_024
    max_handlers: int = 1_024
    connect_timeout_s: float = 1.0
    handshake_timeout_s: float = 2.0
    write_timeout_s: float = 5.0
    redial_delay_s: float = 0.25
    idle_close_s: float = 60.0
    expiry_interval_s: float = 0.01
    flush_interval_s: float = 1.0
