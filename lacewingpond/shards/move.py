"""A change of owner that is to be written."""

from msgspec import Struct

from lacewingpond.shards.process import ProcessId


class Move(Struct, frozen=True):
    """Gives a shard to a process, if its row is still the expected one.

    Parameters
    ----------
    shard : int
        Number of the shard.
    expected_epoch : int
        Epoch of the row that is replaced; 0 when there is none.
    taker : ProcessId
        The new owner.
    clean : bool
        True when the state was handed over, or there was none.
    """

    shard: int
    expected_epoch: int
    taker: ProcessId
    clean: bool
