"""A one-sided cumulative sum test on failures.

Source: Page, "Continuous inspection schemes", Biometrika 41, 1954; the
increments are log likelihood ratios of Bernoulli outcomes, as in Wald,
"Sequential tests of statistical hypotheses", 1945.
"""

import math


def unhealthy_rate(healthy: float, excess: float) -> float:
    """Return the rate that counts as unhealthy beside the rate `healthy`."""
    return healthy + excess * (1.0 - healthy)


def log_likelihood(bad: int, total: int, healthy: float, excess: float) -> float:
    """Return the evidence of `bad` among `total` outcomes for an unhealthy target.

    Parameters
    ----------
    bad, total : int
        Failures, and all outcomes.
    healthy : float
        Rate of failures of healthy peers, above 0 and below 1.
    excess : float
        See `unhealthy_rate`.

    Returns
    -------
    float
        Natural log of the likelihood ratio; positive speaks for unhealthy.
    """
    sick = unhealthy_rate(healthy, excess)
    good = total - bad
    rise = bad * math.log(sick / healthy)
    return rise + good * math.log((1.0 - sick) / (1.0 - healthy))
