"""Options of the peer channel."""

from msgspec import Struct


class PeerOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds and timeouts of the streams between VMs.

    Parameters
    ----------
    host, port : str, int
        Address to listen on, by IP number; port 0 takes a free one.
    max_frame_bytes : int
        Longest frame in either direction.
    max_array_items : int
        Longest array within a frame.
    send_queue_messages : int
        Messages that may wait for one connection.
    max_unsent_answer_bytes : int
        Answers that may wait for a peer to read; with more its connection is ended.
    max_connections : int
        Connections accepted at a time.
    max_handlers : int
        Arriving messages handled at a time, over all connections.
    connect_timeout_s, handshake_timeout_s : float
        Longest time for each step, in seconds.
    write_timeout_s : float
        A connection whose bytes stay unacknowledged for so long is ended.
    redial_delay_s : float
        Shortest time between two failed attempts to connect to one VM.
    idle_close_s : float
        A connection that was unused for so long is closed.
    expiry_interval_s : float
        How often timeouts are looked for while calls wait.
    flush_interval_s : float
        How often idle connections are looked for and counted traffic goes to the
        metrics.
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
