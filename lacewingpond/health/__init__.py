"""Fleet-wide outlier detection of targets from the outcomes of real requests."""
