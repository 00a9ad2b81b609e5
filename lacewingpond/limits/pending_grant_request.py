"""An ask that has been sent."""


class PendingAsk:
    """What the entry VM must remember until an ask is answered.

    Parameters
    ----------
    bucket_id : str
        The bucket asked for.
    shard : int
        Shard of the slice that was asked.
    vm_id : str
        Owner that was asked.
    sent_at : float
        Monotonic time in seconds.
    need, ahead : int
        Tokens asked for.
    """

    __slots__ = ("bucket_id", "shard", "vm_id", "sent_at", "need", "ahead")

    def __init__(
        self,
        bucket_id: str,
        shard: int,
        vm_id: str,
        sent_at: float,
        need: int,
        ahead: int,
    ) -> None:
        self.bucket_id = bucket_id
        self.shard = shard
        self.vm_id = vm_id
        self.sent_at = sent_at
        self.need = need
        self.ahead = ahead
