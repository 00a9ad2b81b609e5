"""Options of the shards."""

from msgspec import Struct


class ShardOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Numbers and waits; all daemons of a region need the same ones.

    Parameters
    ----------
    shard_count : int
        Shards of this region.
    region : str
        Region whose table this daemon uses.
    takeover_wait_s : float
        How long an owner must be missing from the platform's list. More than the
        list's lag, the time in which an owner notices that it is missing, and the
        longer of the longest grant and the dispatch deadline, taken together.
    longest_grant_s : float
        Longest life of a grant of the limits (`max_ttl_s` there) and a margin.
    max_gap_s : float
        A gap in the own clock that is longer counts as a pause.
    tick_s, step_s : float
        Time between two looks at the clock, and between two rounds of work.
    settle_s : float
        Wait after the start before free shards are given out.
    refresh_s, pull_s : float
        Time between two reads of the table from the store (only by VMs that read
        the platform's list) and from a peer (by all others).
    list_check_s : float
        Time between two reads of the platform's list while an owner is missing.
    revalidate_s : float
        Shortest time between two attempts to trust the own shards again.
    claimers : int
        VMs that may give out free shards.
    claimer_stagger_s : float
        Time by which each of them starts before the next.
    fanout : int
        VMs to which a changed table is pushed on.
    call_timeout_s : float
        Longest wait for a peer.
    chunk_bytes, max_state_bytes : int
        Longest piece of a shard's state in one message, and longest state.
    max_held_bytes : int
        All states together that are held for shards not yet owned.
    note_patience_s : float
        A taker that waits longer for the leaver's write does it itself.
    note_life_s : float
        How long a state is held while the store is away.
    stop_retry_s, stop_margin_s : float
        Pause between attempts to hand over at a stop, and the time before its
        end when states are sent although the store is away.
    rebalance_s : float
        Time between two moves of shards to the VMs where they belong.
    rebalance_batch : int
        Most shards in one such move.
    """

    shard_count: int = 128
    region: str = ""
    takeover_wait_s: float = 25.0
    longest_grant_s: float = 2.0
    max_gap_s: float = 2.0
    tick_s: float = 0.25
    step_s: float = 1.0
    settle_s: float = 5.0
    refresh_s: float = 10.0
    pull_s: float = 5.0
    list_check_s: float = 3.0
    revalidate_s: float = 1.0
    claimers: int = 3
    claimer_stagger_s: float = 6.0
    fanout: int = 4
    call_timeout_s: float = 2.0
    chunk_bytes: int = 200_000
    max_state_bytes: int = 16_000_000
    max_held_bytes: int = 32_000_000
    note_patience_s: float = 2.0
    note_life_s: float = 14_400.0
    stop_retry_s: float = 0.5
    stop_margin_s: float = 3.0
    rebalance_s: float = 60.0
    rebalance_batch: int = 4
