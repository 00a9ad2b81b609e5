"""Options of the membership."""

from msgspec import Struct


class MembershipOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """How often and how many VMs are asked.

    Parameters
    ----------
    probe_interval_s, probe_timeout_s : float
        Time between two rounds of probes, and the longest wait for an answer.
    observed : int
        VMs that each VM probes in a round.
    helpers : int
        VMs that are asked to probe a VM which did not answer.
    failures_to_suspect : int
        Failed rounds in a row after which a VM is suspected.
    unreachable_s : float
        How long a VM that did not answer counts as unreachable from here.
    readers_per_domain : int
        VMs of each failure domain that read the platform's list.
    list_interval_s : float
        Shortest time between two reads of the platform's list.
    list_bytes_per_s : float
        Most bytes of the list that a reader takes in, on average; a long list is
        read less often.
    list_lag_s : float
        Longest time by which the platform's list lags behind.
    list_max_age_s : float
        A VM whose knowledge of the list is older reads the list itself.
    fallback_max_s : float
        Longest pause between such reads while they fail.
    pull_interval_s : float
        Time between two comparisons with a VM that reads the list; readers compare
        with readers of all failure domains.
    contacts, fanout : int
        VMs that news goes to, and how many of them get each piece of news.
    contact_rotation_s : float
        How often one contact is replaced.
    hear_timeout_s : float
        Silence of all peers after which this VM hears no peer.
    tombstone_s : float
        How long a VM that is gone is remembered.
    max_vms : int
        Most VMs that are kept.
    jitter : float
        Share of each interval by which it is varied.
    """

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.5
    observed: int = 2
    helpers: int = 2
    failures_to_suspect: int = 2
    unreachable_s: float = 5.0
    readers_per_domain: int = 2
    list_interval_s: float = 2.0
    list_bytes_per_s: float = 3_000.0
    list_lag_s: float = 5.0
    list_max_age_s: float = 10.0
    fallback_max_s: float = 120.0
    pull_interval_s: float = 4.0
    contacts: int = 8
    fanout: int = 4
    contact_rotation_s: float = 30.0
    hear_timeout_s: float = 10.0
    tombstone_s: float = 600.0
    max_vms: int = 8_192
    jitter: float = 0.2
