"""Logarithmic latency buckets."""

BUCKET_COUNT = 16
FIRST_BUCKET_S = 0.001
"""Upper bound of the first bucket; the bound doubles with each bucket."""


def bucket_of(latency_s: float) -> int:
    """Return the index, 0 to 15, of the bucket of a latency in seconds."""
    steps = int(latency_s / FIRST_BUCKET_S).bit_length()
    return min(steps, BUCKET_COUNT - 1)


def quantile_bucket(counts: list[float], quantile: float) -> int:
    """Return the index of the bucket that holds the `quantile` (0 to 1)."""
    remaining = quantile * sum(counts)
    for bucket, count in enumerate(counts):
        remaining -= count
        if remaining <= 0.0:
            return bucket
    return len(counts) - 1
