"""Increments of a one-sided cumulative sum (CUSUM) test on failure rates.

Source: Page, "Continuous inspection schemes", Biometrika 41, 1954; the
increments are log likelihood ratios of Bernoulli outcomes, as in Wald,
"Sequential tests of statistical hypotheses", 1945.
"""

import math


def unhealthy_rate(healthy: float, excess: float) -> float:
    """Return the failure rate of an unhealthy target whose peers fail at `healthy`."""
    return healthy + excess * (1.0 - healthy)


def log_likelihood_ratio(bad: int, total: int, healthy: float, excess: float) -> float:
    """Return the evidence that a target is unhealthy.

    Parameters
    ----------
    bad, total : int
        Failures of the target, and all its outcomes.
    healthy : float
        Failure rate of healthy peers, above 0 and below 1.
    excess : float
        Excess of an unhealthy target's rate, as a share of ``1 - healthy``.

    Returns
    -------
    float
        Natural log of the likelihood ratio of unhealthy to healthy; above 0 when
        the outcomes are more likely for an unhealthy target.
    """
    unhealthy = unhealthy_rate(healthy, excess)
    good = total - bad
    llr_bad = bad * math.log(unhealthy / healthy)
    return llr_bad + good * math.log((1.0 - unhealthy) / (1.0 - healthy))
