"""Latency in a few logarithmic buckets."""

BUCKET_COUNT = 16
FIRST_BUCKET_S = 0.001
"""Upper edge of the first bucket; each further bucket doubles it."""


def bucket_of(latency_s: float) -> int:
    """Return the bucket, 0 to 15, of a latency in seconds."""
    steps = int(latency_s / FIRST_BUCKET_S).bit_length()
    return min(steps, BUCKET_COUNT - 1)


def quantile_bucket(counts: list[float], share: float) -> int:
    """Return the lowest bucket below whose upper edge lies `share` of `counts`."""
    remaining = share * sum(counts)
    for bucket, count in enumerate(counts):
        remaining -= count
        if remaining <= 0.0:
            return bucket
    return len(counts) - 1
