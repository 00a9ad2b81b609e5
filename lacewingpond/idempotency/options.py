"""Options of idempotency keys."""

from msgspec import Struct


class IdempotencyOptions(Struct, frozen=True):
    """Storage of idempotency keys and responses; must be equal on all VMs.

    Parameters
    ----------
    retention_s : float
        Time for which a claim (the record of one idempotency key) and its response
        are stored, in seconds.
    clock_skew_s : float
        Largest difference between any two wall clocks of VMs and callers, in seconds.
    max_claims : int
        Maximum number of claims on one VM.
    max_running : int
        Maximum number of keyed requests that run on one VM.
    max_key_chars : int
        Maximum length of a key.
    max_body_bytes : int
        Maximum body size of a request with a key.
    max_answer_bytes : int
        Maximum size of a response that is stored for repeats.
    max_kept_bytes : int
        Maximum total size of the responses stored on one VM.
    max_handover_bytes : int
        Maximum total size of the responses handed over with one shard.
    not_run_hold_s : float
        Time for which a key stays refused after its request did not run, in seconds;
        an entry VM that waited this long for such a refusal reports "unknown" instead.
    owner_wait_s : float
        Longest wait for an owner while a shard is handed over, in seconds.
    ack_timeout_s : float
        Longest wait for the owner's acknowledgement, in seconds.
    poll_s : float
        Period in which a waiting entry VM polls the owner for the reply, in seconds.
    extra_wait_s : float
        Time to wait for a reply beyond the request's own timeout, in seconds.
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
