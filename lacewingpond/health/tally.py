"""Counts of outcomes within one period."""

from lacewingpond.health.outcome import Outcome
from lacewingpond.health.sketch import BUCKET_COUNT, bucket_of

CODE_COUNT = BUCKET_COUNT + len(Outcome)
MAX_COUNT_PER_PAIR = 255


class Tally:
    """Outcomes of one target.

    Codes below `BUCKET_COUNT` are latency buckets of successful answers; the
    others are `BUCKET_COUNT` plus an `Outcome`.
    """

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}

    @classmethod
    def from_packed(cls, packed: bytes) -> "Tally":
        """Read what `packed` wrote; unknown codes and a torn pair are ignored."""
        tally = cls()
        for code, count in zip(packed[::2], packed[1::2], strict=False):
            if code < CODE_COUNT:
                tally.counts[code] = tally.counts.get(code, 0) + count
        return tally

    def add(self, outcome: Outcome, latency_s: float) -> None:
        """Count one outcome."""
        code = BUCKET_COUNT + outcome
        if outcome is Outcome.OK:
            code = bucket_of(latency_s)
        self.counts[code] = self.counts.get(code, 0) + 1

    def reclassify(self, old: Outcome, new: Outcome, count: int) -> None:
        """Count up to `count` failures of class `old` as `new` instead."""
        moved = min(count, self.of(old))
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
        """Return pairs of one byte for the code and one for the count."""
        pairs = bytearray()
        for code, count in self.counts.items():
            while count > 0:
                part = min(count, MAX_COUNT_PER_PAIR)
                pairs += bytes((code, part))
                count -= part
        return bytes(pairs)

    def of(self, outcome: Outcome) -> int:
        """Return how often `outcome` was counted."""
        if outcome is Outcome.OK:
            return self.ok()
        return self.counts.get(BUCKET_COUNT + outcome, 0)

    def ok(self) -> int:
        """Return the number of successful answers."""
        return sum(n for code, n in self.counts.items() if code < BUCKET_COUNT)

    def slower_than(self, bucket: int) -> int:
        """Return the number of successful answers above `bucket`."""
        return sum(n for code, n in self.counts.items() if bucket < code < BUCKET_COUNT)

    def buckets(self) -> list[tuple[int, int]]:
        """Return the latency buckets in use and their counts."""
        return [(c, n) for c, n in self.counts.items() if c < BUCKET_COUNT]
