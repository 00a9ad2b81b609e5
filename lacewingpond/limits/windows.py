"""Exact check of admission times against a token bucket over all time windows."""

from collections.abc import Sequence


def worst_excess(times: Sequence[float], rate: float, burst: float) -> float:
    """Return the largest excess over ``burst + rate * T`` in any window of length T.

    Parameters
    ----------
    times : sequence of float
        Times of the admissions in seconds, ascending.
    rate, burst : float
        Admissions per second, and admissions allowed at once.

    Returns
    -------
    float
        Positive when some window exceeds the limit; minus infinity without
        admissions. The excess is largest in a window that starts and ends at an
        admission, so one pass over the admissions covers all windows.
    """
    worst = float("-inf")
    min_surplus = float("inf")
    for number, time in enumerate(times):
        surplus = number - rate * time
        min_surplus = min(min_surplus, surplus)
        worst = max(worst, surplus + 1.0 - min_surplus - burst)
    return worst
