"""Options of the membership."""

from msgspec import Struct


class MembershipOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """How the VMs read the platform's list, probe each other and exchange changes.

    Parameters
    ----------
    probe_interval_s : float
        Time between two rounds of probes.
    probe_timeout_s : float
        Longest wait for the response to a probe.
    observed : int
        Number of VMs that each VM probes per round.
    helpers : int
        Number of VMs that are asked to probe a VM that did not respond.
    failures_to_suspect : int
        Number of failed rounds in a row after which a VM is suspected.
    unreachable_s : float
        How long a VM that did not respond counts as unreachable from this VM.
    readers_per_domain : int
        Number of VMs per failure domain that read the platform's list.
    list_interval_s : float
        Shortest time between two reads of the platform's list.
    list_bytes_per_s : float
        Most bytes of the list per second that a reader reads on average; a longer
        list is read less often.
    list_lag_s : float
        Longest time by which the platform's list lags behind.
    list_max_age_s : float
        A VM that knows no list newer than this reads the list itself.
    fallback_max_s : float
        Longest delay between these reads of the list while they fail.
    pull_interval_s : float
        Time between two pulls from a VM that reads the list; a reader pulls from
        readers of all failure domains.
    contacts : int
        Number of VMs from which the receivers of a change are chosen.
    fanout : int
        Number of VMs that each change is pushed to.
    contact_rotation_s : float
        How often one contact is replaced.
    hear_timeout_s : float
        Time without a message from any peer after which this VM counts as having
        no contact to peers.
    tombstone_s : float
        How long a VM that left the list is remembered.
    max_vms : int
        Largest number of VMs whose records are kept.
    jitter : float
        Largest random change of each interval, as a share of it.
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
