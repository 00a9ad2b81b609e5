"""Counts of one target's outcomes."""

from lacewingpond.health.latency_buckets import BUCKET_COUNT, bucket_of
from lacewingpond.health.outcome import Outcome

CODE_COUNT = BUCKET_COUNT + len(Outcome)
MAX_COUNT_PER_PAIR = 255


class Tally:
    """Counts of one target's outcomes, by code.

    A code below `BUCKET_COUNT` is the latency bucket of a successful response; any
    other code is `BUCKET_COUNT` plus an `Outcome`.
    """

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}

    @classmethod
    def from_packed(cls, packed: bytes) -> "Tally":
        """Return the tally that `packed` encoded.

        Unknown codes and an incomplete last pair are ignored.
        """
        tally = cls()
        for code, count in zip(packed[::2], packed[1::2], strict=False):
            if code < CODE_COUNT:
                tally.counts[code] = tally.counts.get(code, 0) + count
        return tally

    def add(self, outcome: Outcome, latency_s: float) -> None:
        """Count one outcome; the latency counts for successful responses only."""
        code = BUCKET_COUNT + outcome
        if outcome is Outcome.OK:
            code = bucket_of(latency_s)
        self.counts[code] = self.counts.get(code, 0) + 1

    def reclassify(self, old: Outcome, new: Outcome, count: int) -> None:
        """Move up to `count` failures from outcome `old` to outcome `new`."""
        moved = min(count, self.count_of(old))
        if moved <= 0:
            return
        self.counts[BUCKET_COUNT + old] -= moved
        code = BUCKET_COUNT + new
        self.counts[code] = self.counts.get(code, 0) + moved

    def merge(self, other: "Tally") -> None:
        """Add the counts of `other`."""
        for code, count in other.counts.items():
            self.counts[code] = self.counts.get(code, 0) + count

    def packed(self) -> bytes:
        """Return the counts as pairs of bytes, each a code and a count up to 255."""
        pairs = bytearray()
        for code, count in self.counts.items():
            while count > 0:
                part = min(count, MAX_COUNT_PER_PAIR)
                pairs += bytes((code, part))
                count -= part
        return bytes(pairs)

    def count_of(self, outcome: Outcome) -> int:
        """Return the number of requests that ended with `outcome`."""
        if outcome is Outcome.OK:
            return self.ok_count()
        return self.counts.get(BUCKET_COUNT + outcome, 0)

    def ok_count(self) -> int:
        """Return the number of successful responses."""
        return sum(n for code, n in self.counts.items() if code < BUCKET_COUNT)

    def slower_than(self, bucket: int) -> int:
        """Return the number of successful responses in buckets above `bucket`."""
        return sum(n for code, n in self.counts.items() if bucket < code < BUCKET_COUNT)

    def buckets(self) -> list[tuple[int, int]]:
        """Return the latency buckets that are not empty, each with its count."""
        return [(c, n) for c, n in self.counts.items() if c < BUCKET_COUNT]
