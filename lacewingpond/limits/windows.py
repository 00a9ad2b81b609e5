"""Exact check of admissions against a rate and a burst over all windows."""

from collections.abc import Sequence


def worst_excess(times: Sequence[float], rate: float, burst: float) -> float:
    """Return the most admissions above ``burst + rate * T`` over all windows.

    Parameters
    ----------
    times : sequence of float
        Times of the admissions in seconds, in order.
    rate, burst : float
        Admissions a second, and at once.

    Returns
    -------
    float
        Positive when some window holds more than it may. A window that begins
        and ends at admissions is always among the worst ones, so one pass over
        the admissions checks every window.
    """
    worst = float("-inf")
    least_before = float("inf")
    for number, time in enumerate(times):
        surplus = number - rate * time
        least_before = min(least_before, surplus)
        worst = max(worst, surplus + 1.0 - least_before - burst)
    return worst
