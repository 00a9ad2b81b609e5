"""Selection of the targets that one VM uses."""

from collections.abc import Sequence

from lacewingpond.config.model import Target
from lacewingpond.util.rendezvous import ranked


def select_subset(
    targets: Sequence[Target],
    vm_id: str,
    failure_domain: str,
    size: int,
    home_share: float,
) -> tuple[Target, ...]:
    """Return the targets that `vm_id` uses, chosen by rendezvous hashing.

    Parameters
    ----------
    targets : sequence of Target
        All targets that may take work.
    vm_id, failure_domain : str
        The VM and its failure domain.
    size : int
        Number of targets to use.
    home_share : float
        Share of `size` that is taken from the VM's own failure domain, if that has
        enough targets.
    """
    if len(targets) <= size:
        return tuple(targets)
    by_id = {target.target_id: target for target in targets}
    order = ranked(vm_id, by_id)
    local = [i for i in order if by_id[i].failure_domain == failure_domain]
    chosen = local[: round(size * home_share)]
    taken = set(chosen)
    rest = [target_id for target_id in order if target_id not in taken]
    chosen += rest[: size - len(chosen)]
    return tuple(by_id[target_id] for target_id in chosen)
