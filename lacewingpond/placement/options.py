"""Options of placement."""

from msgspec import Struct


class PlacementOptions(Struct, frozen=True):
    """How targets are chosen.

    Parameters
    ----------
    fleet_size : int
        Number of VMs in the fleet, until membership is known.
    subset_size : int
        Number of a service's targets that one VM uses.
    choices : int
        Number of targets that are drawn from the subset and compared for each
        request.
    home_share : float
        Share of the subset that is taken from the VM's own failure domain.
    home_penalty : float
        Difference in load, as a share of a target's slots, below which a target in
        the VM's own failure domain is preferred to one in another domain.
    load_half_life_s : float
        Age at which a reported load counts as one half, in seconds.
    """

    fleet_size: int = 40
    subset_size: int = 16
    choices: int = 5
    home_share: float = 0.75
    home_penalty: float = 0.05
    load_half_life_s: float = 0.1
