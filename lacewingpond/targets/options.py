"""Options of the client for targets."""

from msgspec import Struct

from lacewingpond.routing.forwarded_headers import DEADLINE_HEADER


class TargetOptions(Struct, frozen=True):
    """Timeouts and limits of connections to targets.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout of opening a connection, in seconds.
    max_age_s, age_jitter : float
        Age at which a connection is replaced, in seconds, and the share by which it
        varies at random.
    max_idle_s : float
        Time after which an idle connection is closed, in seconds.
    fresh_s : float
        Time since a connection's last response, or since it was opened, up to which
        it may carry a non-idempotent request, in seconds.
    body_idle_s : float
        Timeout of waiting for the next bytes of a response body, in seconds.
    caller_check_s, caller_check_max_s : float
        First and longest interval at which a waiting request checks whether its
        caller has disconnected, in seconds; the interval grows with the wait.
    silent_after_s : float
        Time after which an idempotent request stops waiting on a connection that is
        marked as silent, in seconds.
    silent_window_s : float
        Time after a timeout within which a response on a newer connection shows that
        the older connection was silent, in seconds.
    timeout_episode_s : float
        Time after a timeout within which the next one belongs to the same episode,
        in seconds. A timeout on a connection opened since the start of the episode
        indicates a fault of the target.
    abandoned_body_s : float
        Time for which the response to a non-idempotent request is read after its
        caller has disconnected, in seconds.
    connections_per_target : int
        Connection limit for targets that `TargetClient.apply` has not set.
    read_bytes : int
        Largest block read from a response body, in bytes.
    deadline_header : str
        Header that tells a target how many milliseconds are left.
    answer_id_header : str
        Response header in which targets return the request's id; empty if none.
    """

    connect_timeout_s: float = 1.0
    max_age_s: float = 300.0
    age_jitter: float = 0.1
    max_idle_s: float = 30.0
    fresh_s: float = 1.0
    body_idle_s: float = 3_600.0
    caller_check_s: float = 0.2
    caller_check_max_s: float = 5.0
    silent_after_s: float = 1.0
    silent_window_s: float = 5.0
    timeout_episode_s: float = 60.0
    abandoned_body_s: float = 30.0
    connections_per_target: int = 9
    read_bytes: int = 65_536
    deadline_header: str = DEADLINE_HEADER
    answer_id_header: str = ""
