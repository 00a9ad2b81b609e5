"""A change of owner to be written to the shard table."""

from msgspec import Struct

from lacewingpond.shards.process import ProcessId


class Move(Struct, frozen=True):
    """Assigns a shard to a process, provided that its row is still the expected one.

    Parameters
    ----------
    shard : int
        Shard number.
    expected_epoch : int
        Epoch of the row to replace; 0 when there is none.
    taker : ProcessId
        The new owner.
    clean : bool
        True when the state was handed over, or there was none.
    """

    shard: int
    expected_epoch: int
    taker: ProcessId
    clean: bool
