"""Options of idempotency keys."""

from msgspec import Struct


class IdempotencyOptions(Struct, frozen=True):
    """Settings of `IdempotencyService`; equal on all VMs.

    Parameters
    ----------
    retention_s : float
        Time for which a claim and its answer are kept, in seconds.
    clock_skew_s : float
        Largest difference between two wall clocks, callers' included, in seconds.
    max_claims : int
        Most claims that one VM keeps.
    max_running : int
        Most keyed requests that run on one VM at once.
    max_key_chars : int
        Longest accepted key.
    max_body_bytes : int
        Largest body of a request with a key.
    max_answer_bytes : int
        Largest body of an answer that is kept for repeats.
    max_kept_bytes : int
        Most bytes of answers that one VM keeps.
    max_handover_bytes : int
        Most bytes of answers that go along with one shard.
    not_run_hold_s : float
        Time for which a key stays refused after its request did not run, and
        after which such a refusal is no longer passed on, in seconds.
    owner_wait_s : float
        Longest wait for an owner while a shard is handed over, in seconds.
    ack_timeout_s : float
        Longest wait for the owner's acknowledgement, in seconds.
    poll_s : float
        Period in which a waiting entry VM asks the owner again, in seconds.
    extra_wait_s : float
        Time beyond the request's own timeout that a repeat waits, in seconds.
    """

    retention_s: float = 3600.0
    clock_skew_s: float = 5.0
    max_claims: int = 20_000
    max_running: int = 512
    max_key_chars: int = 255
    max_body_bytes: int = 262_144
    max_answer_bytes: int = 65_536
    max_kept_bytes: int = 8_000_000
    max_handover_bytes: int = 200_000
    not_run_hold_s: float = 1.0
    owner_wait_s: float = 0.5
    ack_timeout_s: float = 1.0
    poll_s: float = 1.0
    extra_wait_s: float = 1.0
