"""A grant request that was sent to a slice owner."""


class PendingGrantRequest:
    """State that the entry VM keeps until a grant request is answered.

    Parameters
    ----------
    bucket_id : str
        The requested bucket.
    shard : int
        Shard of the requested slice.
    vm_id : str
        Owner that the request was sent to.
    sent_at : float
        Monotonic time of sending in seconds.
    need, prefetch : int
        Requested tokens, as in `GrantAsk`.
    """

    __slots__ = ("bucket_id", "shard", "vm_id", "sent_at", "need", "prefetch")

    def __init__(
        self,
        bucket_id: str,
        shard: int,
        vm_id: str,
        sent_at: float,
        need: int,
        prefetch: int,
    ) -> None:
        self.bucket_id = bucket_id
        self.shard = shard
        self.vm_id = vm_id
        self.sent_at = sent_at
        self.need = need
        self.prefetch = prefetch
