"""Weights with which failure domains are drawn, from loads and the spilled share."""

from collections.abc import Mapping

from msgspec import Struct

# Part of a domain's slots that counts as free however loaded it is, so that it stays
# in use.
MIN_FREE_RATIO = 0.05


class Home(Struct, frozen=True):
    """Targets that the requests of a failure domain go to first.

    These are its near targets, and its part of the targets in domains without VMs,
    which are near to nobody.

    Parameters
    ----------
    weights : dict of str to float
        Weight of each of these failure domains; the weights add up to 1. Empty
        without such targets.
    slots : float
        Slots of the targets, with this domain's part of those in domains without VMs.
    """

    weights: dict[str, float]
    slots: float


def home_of(
    domain: str,
    slots: Mapping[str, int],
    received: float,
    sizes: Mapping[str, int],
) -> Home:
    """Return the targets that the requests of `domain` go to first.

    Parameters
    ----------
    domain : str
        Failure domain of the VMs that send.
    slots : mapping of str to int
        Usable slots of each failure domain.
    received : float
        Requests in flight from other failure domains at the targets of `domain`.
    sizes : mapping of str to int
        Number of VMs in each failure domain.
    """
    part = max(sizes.get(domain, 0), 1) / max(sum(sizes.values()), 1)
    near = slots.get(domain, 0)
    free = {d: n * part for d, n in slots.items() if d != domain and not sizes.get(d)}
    total = near + sum(free.values())
    if near:
        free[domain] = _free(near, received, 1.0)
    return Home(_normalized(free), total)


def with_far(
    home: Home,
    slots: Mapping[str, int],
    demand: Mapping[str, float],
    far_share: float,
    spilled: float,
    level: float,
) -> dict[str, float]:
    """Return the weights of all failure domains with usable slots; they add up to 1.

    Parameters
    ----------
    home : Home
        Targets that requests go to first.
    slots : mapping of str to int
        Usable slots of each failure domain.
    demand : mapping of str to float
        Requests in flight by the failure domain of the VMs that sent them. They have
        precedence at the targets of that domain, so they count as its load.
    far_share : float
        Share of the requests that goes to far targets in any case, by their slots.
    spilled : float
        Share of the requests that goes to far targets in all, if it is more. What
        exceeds `far_share` goes to free slots.
    level : float
        Requests per slot up to which slots count as free.
    """
    far = {d: n for d, n in slots.items() if d not in home.weights}
    if not far:
        return dict(home.weights)
    free = {d: _free(n, demand.get(d, 0.0), level) for d, n in far.items()}
    if not home.weights:
        return _normalized(free)
    spilled = max(spilled, far_share)
    weights = {d: w * (1.0 - spilled) for d, w in home.weights.items()}
    by_slots, by_free = _normalized(far), _normalized(free)
    for d in far:
        weights[d] = far_share * by_slots[d] + (spilled - far_share) * by_free[d]
    return weights


def _free(slots: float, in_flight: float, level: float) -> float:
    return max(slots * level - in_flight, slots * MIN_FREE_RATIO)


def _normalized(parts: Mapping[str, float]) -> dict[str, float]:
    total = sum(parts.values())
    return {name: part / total for name, part in parts.items()}
