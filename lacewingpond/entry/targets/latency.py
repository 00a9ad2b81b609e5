"""Latencies of the routes, as this VM has measured them."""

import math
from statistics import NormalDist

PRIOR_SAMPLES = 5.0  # successes that count as much as the latency objective
MAX_SAMPLES = 25.0  # older successes fade, so that a change of load is followed
PRIOR_OBJECTIVE_RATIO = 0.2  # objectives are three to five times the usual latency
PRIOR_SIGMA = 0.8
MIN_SIGMA, MAX_SIGMA = 0.5, 1.2  # bounds the error of few samples
_STANDARD_NORMAL = NormalDist()


class RouteLatency:
    """A log-normal fit to the latencies of one route's successes.

    Parameters
    ----------
    objective_s : float
        Latency objective of the route in seconds, which is the prior.
    """

    __slots__ = ("_samples", "_mean", "_variance")

    def __init__(self, objective_s: float) -> None:
        self._samples = PRIOR_SAMPLES
        self._mean = math.log(max(objective_s, 0.001) * PRIOR_OBJECTIVE_RATIO)
        self._variance = PRIOR_SIGMA**2

    def observe(self, latency_s: float) -> None:
        """Add the latency of a success in seconds."""
        self._samples = min(self._samples + 1.0, MAX_SAMPLES)
        deviation = math.log(max(latency_s, 0.001)) - self._mean
        step = 1.0 / self._samples
        self._mean += deviation * step
        self._variance += (deviation**2 * (1.0 - step) - self._variance) * step

    def exceeded_by(self, share: float) -> float:
        """Return the latency in seconds that a `share` of successes exceeds."""
        sigma = min(max(math.sqrt(self._variance), MIN_SIGMA), MAX_SIGMA)
        return math.exp(self._mean + sigma * _STANDARD_NORMAL.inv_cdf(1.0 - share))


class RouteLatencies:
    """The latencies of all routes; those of removed routes are dropped."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[str, RouteLatency] = {}

    def of(self, route: str, objective_s: float) -> RouteLatency:
        """Return the latency of a route, which starts at its objective."""
        latency = self._routes.get(route)
        if latency is None:
            latency = self._routes[route] = RouteLatency(objective_s)
        return latency

    def keep_only(self, routes: frozenset[str]) -> None:
        """Drop the latencies of all routes but `routes`."""
        self._routes = {k: v for k, v in self._routes.items() if k in routes}
