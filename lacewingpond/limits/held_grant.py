"""A grant as the entry VM holds it."""


class HeldGrant:
    """Tokens that this VM may use until they expire.

    Parameters
    ----------
    shard : int
        Shard of the slice that granted.
    seq : int
        Number of the ask that brought the grant.
    amount : int
        Tokens.
    expires_at : float
        Monotonic time in seconds, counted from when the ask was sent.
    return_at : float
        Monotonic time in seconds from which unused tokens are returned.
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
