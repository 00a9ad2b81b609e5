"""Options of the configuration's distribution."""

from msgspec import Struct


class ConfigOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """How a VM learns of new revisions, and when it counts as isolated.

    Parameters
    ----------
    watch_all_up_to_vms : int
        Largest fleet, in VMs, in which every VM watches the store.
    watchers_per_domain : int
        Number of VMs per failure domain that watch the store in a larger fleet.
    watch_timeout_s : float
        Longest wait of one watch.
    load_jitter_s : float
        Longest random delay before new chunks are read from the store.
    small_load_chunks : int
        A VM that lacks more chunks than this prefers to get them from another VM.
    large_load_jitter_s : float
        Longest random delay before more than `small_load_chunks` chunks are read
        from the store.
    large_load_wait_s : float
        Longest wait for more than `small_load_chunks` chunks from VMs that are known
        to have them.
    role_check_s : float
        How often a VM that does not watch the store checks whether it should.
    retry_min_s : float
        Shortest backoff after a failure of the store; it is random and grows
        exponentially.
    retry_max_s : float
        Longest backoff after a failure of the store; also the delay after an
        unexpected exception.
    neighbours_in_domain : int
        Number of VMs of the same failure domain that a VM exchanges revisions with.
    neighbours_elsewhere : int
        Number of VMs of other failure domains that a VM exchanges revisions with.
    neighbours_period_s : float
        How often the VMs to exchange revisions with are chosen again from the live
        VMs.
    pull_period_s : float
        How often a VM asks one of these VMs for newer revisions.
    pull_timeout_s : float
        Longest wait for the response of one VM.
    lonely_after_s : float
        A VM that got no message from any other VM for this long watches the store.
    republish_after_s : float
        How long the store must hold an older revision before a VM writes the newer
        one again; each VM adds up to as much again at random.
    isolation_s : float
        A VM that got no message from the store or any other VM for this long
        counts as isolated.
    minority_s : float
        A VM that can reach half of the listed VMs or fewer, none of which got a
        response from the store for this long, counts as isolated too.
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
