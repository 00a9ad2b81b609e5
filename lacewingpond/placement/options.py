"""Options of placement."""

from msgspec import Struct


class PlacementOptions(Struct, frozen=True):
    """How targets are chosen.

    Parameters
    ----------
    fleet_size : int
        VMs of the fleet until membership says otherwise.
    subset_size : int
        Targets of a service that one VM uses.
    choices : int
        Targets of the subset that are drawn and compared for each request.
    home_share : float
        Part of the subset that comes from the VM's own failure domain.
    home_penalty : float
        Load, as a share of a target's slots, that a target of another failure
        domain must be below one of the VM's own domain to be chosen.
    load_half_life_s : float
        Age at which a reported load counts half, in seconds.
    """

    fleet_size: int = 40
    subset_size: int = 16
    choices: int = 5
    home_share: float = 0.75
    home_penalty: float = 0.05
    load_half_life_s: float = 0.1
