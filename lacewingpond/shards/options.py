"""Options of shard ownership."""

from msgspec import Struct


class ShardOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and intervals; they must be the same on all daemons of a region.

    Parameters
    ----------
    shard_count : int
        Number of shards in the region.
    region : str
        Region whose shard table this daemon uses.
    takeover_wait_s : float
        How long an owner must be missing from the VM list before it is replaced.
        Must exceed the sum of the list's lag, the time in which an owner notices
        that it is missing, and the longer of the longest grant and the dispatch
        deadline.
    longest_grant_s : float
        Longest lifetime of a rate-limit grant (`max_ttl_s` of the limits) plus a
        margin.
    max_gap_s : float
        A longer gap between two readings of the local clock counts as a pause.
    tick_s, step_s : float
        Interval between checks for a pause, and between rounds of maintenance.
    settle_s : float
        Wait after the start before shards that never had an owner are assigned.
    refresh_s, pull_s : float
        Interval between reads of the table from the store (by VMs that read the
        VM list directly) and from a peer (by all others).
    list_check_s : float
        Interval between reads of the VM list while an owner is missing from it.
    revalidate_s : float
        Shortest interval between attempts to regain valid ownership.
    claimers : int
        Number of VMs that may assign unowned shards.
    claimer_stagger_s : float
        Additional delay of each claimer after the one ranked before it.
    fanout : int
        Number of VMs to which a changed table is pushed.
    call_timeout_s : float
        Timeout of a call to a peer.
    chunk_bytes, max_state_bytes : int
        Largest chunk of a shard's state in one message, and largest state.
    max_held_bytes : int
        Total size of the states held for shards not yet owned.
    note_patience_s : float
        The new owner writes the table itself when the previous owner has not done
        so within this time.
    note_life_s : float
        How long a received state is held while the store is unavailable.
    stop_retry_s, stop_margin_s : float
        Interval between handover attempts during a stop, and the time before its
        end at which states are sent even if the store is unavailable.
    rebalance_s : float
        Interval between moves of shards to their preferred owners.
    rebalance_batch : int
        Maximum number of shards in one such move.
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
