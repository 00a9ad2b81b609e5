"""Options of the targets' side."""

from msgspec import Struct

from lacewingpond.routing.hop_by_hop import DEADLINE_HEADER


class TargetOptions(Struct, frozen=True):
    """Timeouts and bounds of connections to targets.

    Parameters
    ----------
    connect_timeout_s : float
        Longest wait for a new connection.
    max_age_s, age_jitter : float
        When a connection is replaced, and the share by which that varies.
    max_idle_s : float
        How long an unused connection is kept.
    fresh_s : float
        How recently a connection must have carried an answer, or been opened, to
        take a non-idempotent request.
    body_idle_s : float
        Longest wait for the next bytes of an answer's body.
    caller_check_s, caller_check_max_s : float
        How often a waiting request looks whether its caller has gone: at first, and
        at least, as the wait grows long.
    silent_after_s : float
        How long an idempotent request waits on a connection that newer ones have
        shown to be silent.
    silent_window_s : float
        How long after a timeout a new connection's answer tells that the old
        connection was silent.
    timeout_episode_s : float
        How long after a timeout further ones belong to the same episode. Within
        one, a timeout on a connection opened since its start blames the target.
    abandoned_body_s : float
        How long the answer to a non-idempotent request is read after its caller
        has gone.
    connections_per_target : int
        This VM's bound for targets that `TargetClient.apply` has not seen.
    read_bytes : int
        Largest block of an answer that is held.
    deadline_header : str
        Field that tells a target how many milliseconds are left.
    answer_id_header : str
        Field by which targets return the id of the request; empty if they do not.
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
