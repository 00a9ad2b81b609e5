"""Options of the configuration's spread."""

from msgspec import Struct


class ConfigOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """How a VM learns of new revisions, and when it counts as isolated.

    Parameters
    ----------
    watch_all_up_to_vms : int
        In a fleet of up to so many VMs every VM watches the store.
    watchers_per_domain : int
        In a larger fleet, VMs of each failure domain that watch.
    watch_timeout_s : float
        Longest wait of one watch.
    load_jitter_s : float
        Longest random pause before new chunks are read from the store.
    small_load_chunks : int
        More chunks than these are rather read from another VM.
    large_load_jitter_s, large_load_wait_s : float
        Longest random pause before so many chunks are read from the store, and
        longest wait for VMs that are known to have them.
    role_check_s : float
        How often a VM that does not watch looks whether it should.
    retry_min_s, retry_max_s : float
        Bounds of the random, doubling pause after the store failed.
    neighbours_in_domain, neighbours_elsewhere : int
        VMs that this one exchanges revisions with.
    neighbours_period_s : float
        How often those are chosen anew from the live VMs.
    pull_period_s : float
        How often it asks one of them for news.
    pull_timeout_s : float
        Longest wait for its answer.
    lonely_after_s : float
        Without an answer from any VM for so long it watches the store itself.
    republish_after_s : float
        How long a store must hold an older revision before it is written again.
    isolation_s : float
        Without a word from the store and from any VM for so long it is isolated.
    minority_s : float
        A VM that reaches half of the listed VMs or fewer, none of which has heard
        the store for so long, counts as isolated too.
    status_timeout_s : float
        Longest wait for the revision of one VM.
    """

    watch_all_up_to_vms: int = 64
    watchers_per_domain: int = 3
    watch_timeout_s: float = 10.0
    load_jitter_s: float = 0.1
    small_load_chunks: int = 16
    large_load_jitter_s: float = 2.0
    large_load_wait_s: float = 12.0
    role_check_s: float = 2.0
    retry_min_s: float = 0.1
    retry_max_s: float = 2.0
    neighbours_in_domain: int = 3
    neighbours_elsewhere: int = 2
    neighbours_period_s: float = 2.0
    pull_period_s: float = 1.0
    pull_timeout_s: float = 1.0
    lonely_after_s: float = 4.0
    republish_after_s: float = 3.0
    isolation_s: float = 15.0
    minority_s: float = 30.0
    status_timeout_s: float = 1.0
