"""A grant held by an entry VM."""


class HeldGrant:
    """Granted tokens that this VM may use until they expire.

    Parameters
    ----------
    shard : int
        Shard of the slice that granted the tokens.
    seq : int
        Sequence number of the grant request.
    amount : int
        Remaining tokens.
    expires_at : float
        Monotonic time of expiry in seconds, counted from the sending of the request.
    return_at : float
        Monotonic time in seconds at which unused tokens are due for return.
    """

    __slots__ = ("shard", "seq", "amount", "expires_at", "return_at")

    def __init__(
        self, shard: int, seq: int, amount: int, expires_at: float, return_at: float
    ) -> None:
        self.shard = shard
        self.seq = seq
        self.amount = amount
        self.expires_at = expires_at
        self.return_at = return_at
