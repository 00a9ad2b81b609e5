"""Options of hedged requests."""

from msgspec import Struct

from lacewingpond.util.findings import Finding

MAX_EXTRA_LIMIT = 0.2  # a larger share would use up the fleet's retries
MIN_PERCENTILE, MAX_PERCENTILE = 0.5, 0.999


class HedgingOptions(Struct, frozen=True):
    """Section ``[hedging]`` of the settings.

    Parameters
    ----------
    max_extra : float
        Extra requests per idempotent request of a service; 0 turns hedging off.
    percentile : float
        Percentile of the latency of a request's route, as a ratio, after which a
        request that still waits may be hedged.
    """

    max_extra: float = 0.0
    percentile: float = 0.95


def check_hedging(options: HedgingOptions, place: str, findings: list[Finding]) -> None:
    """Append a finding for each option that is out of its range.

    Parameters
    ----------
    options : HedgingOptions
        The options.
    place : str
        Name of the file, for the findings.
    findings : list of Finding
        Receives the findings.
    """
    ranges = {
        "max_extra": (0.0, MAX_EXTRA_LIMIT),
        "percentile": (MIN_PERCENTILE, MAX_PERCENTILE),
    }
    for name, (low, high) in ranges.items():
        if not low <= getattr(options, name) <= high:
            where = f"{place}.hedging.{name}"
            findings.append(Finding(where, f"must be from {low:g} to {high:g}"))
