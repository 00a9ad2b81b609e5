"""Costs of idempotency keys by number of claims and size of stored responses."""

import random
from collections.abc import Callable

from lacewingpond.bench.series import Point, Series
from lacewingpond.http.run_state import RunState
from lacewingpond.idempotency.answer import Answer
from lacewingpond.idempotency.claim import Claim
from lacewingpond.idempotency.claim_table import ClaimTable
from lacewingpond.idempotency.keyed_request import KeyedRequest
from lacewingpond.idempotency.messages import (
    ForwardReply,
    ForwardRequest,
    ForwardStatus,
)
from lacewingpond.idempotency.options import IdempotencyOptions
from lacewingpond.idempotency.reply import Reply, ReplyKind
from lacewingpond.peers.frames import Frame, FrameKind, encode
from lacewingpond.replay.local_claims import LocalClaims
from lacewingpond.shards.base import Ownership
from lacewingpond.util.clock import ManualClock
from lacewingpond.util.resource_usage import cpu_seconds, retained_bytes

CLAIM_COUNTS = (1_000, 4_000, 10_000, 20_000)
RESPONSE_BYTES = (0, 256, 1_024, 4_096)
BODY_BYTES = (0, 1_024, 16_384, 131_072)
REPEATS = 1_000
RESPONSE_COUNT = 1_000
OPTIONS = IdempotencyOptions(max_claims=1_000_000, max_kept_bytes=1 << 40)


class ClaimBench:
    """Benchmark ``claims``: memory and CPU time of claims and stored responses."""

    name = "claims"
    summary = "Memory and processor time of idempotency keys and stored responses."

    def run(self, seed: int) -> tuple[Series, ...]:
        """Return the measured costs; `seed` seeds the idempotency keys."""
        costs = ClaimCosts(seed)
        return (
            _series("memory of claims", "claims", "MB", CLAIM_COUNTS, costs.claim_mb),
            _series(
                "memory of stored responses",
                "bytes",
                "MB",
                RESPONSE_BYTES,
                costs.response_mb,
            ),
            _series("a new claim", "claims", "us", CLAIM_COUNTS, costs.claim_us),
            _series("a repeat", "claims", "us", CLAIM_COUNTS, costs.repeat_us),
            _series(
                "handover and takeover",
                "claims",
                "ms",
                CLAIM_COUNTS,
                costs.handover_ms,
            ),
            _series(
                "forward, all messages", "bytes", "bytes", BODY_BYTES, _forward_bytes
            ),
            _series("coding of a forward", "bytes", "us", BODY_BYTES, _encode_us),
            _series(
                "memory of claims",
                "claims",
                "MB",
                CLAIM_COUNTS,
                costs.local_claims_mb,
                variant="local claims",
            ),
        )


class ClaimCosts:
    """Measures costs of requests with random idempotency keys.

    Parameters
    ----------
    seed : int
        Seed of the idempotency keys.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)

    def requests(self, count: int) -> list[KeyedRequest]:
        """Return requests with idempotency keys of 36 characters without a date."""
        return [
            KeyedRequest("acme", f"{self._rng.getrandbits(144):036x}", "r", "POST", "/")
            for _ in range(count)
        ]

    def claim_mb(self, count: int) -> float:
        """Return the memory of `count` finished claims, in MB."""
        return self._table_mb(count, b"")

    def response_mb(self, size: int) -> float:
        """Return the memory of 1,000 claims with responses of `size` bytes, in MB."""
        return self._table_mb(RESPONSE_COUNT, b"x" * size)

    def claim_us(self, count: int) -> float:
        """Return the time in us to make and finish a claim beside `count` others."""
        table = _filled_table(self.requests(count), b"")
        new_requests = iter(self.requests(4 * REPEATS))

        def claim_many() -> None:
            for _ in range(REPEATS):
                request = next(new_requests)
                if table.find_repeat(0, request) is None:
                    _finish(table, table.claim(0, request), b"")

        return cpu_seconds(claim_many) / REPEATS * 1e6

    def repeat_us(self, count: int) -> float:
        """Return the time in us to find the claim of a repeated request."""
        requests = self.requests(count)
        table = _filled_table(requests, b"")
        repeats = requests[:REPEATS]
        seconds = cpu_seconds(lambda: [table.find_repeat(0, r) for r in repeats])
        return seconds / REPEATS * 1e6

    def handover_ms(self, count: int) -> float:
        """Return the time in ms to release a shard of `count` claims and acquire it."""
        table = _filled_table(self.requests(count), b"x" * 64)

        def hand_over() -> None:
            state, _ = table.release(0)
            table.acquire(Ownership(0, "vm", "1", 2, True, 0.0), state)

        return cpu_seconds(hand_over) * 1e3

    def local_claims_mb(self, count: int) -> float:
        """Return the memory in MB of `LocalClaims`, which keeps keys and replies."""
        requests = self.requests(count)

        def build() -> LocalClaims:
            claims = LocalClaims(None)
            for request in requests:
                reply = Reply(ReplyKind.ANSWER, RunState.RAN, Answer(201))
                claims.remember(request, reply)
            return claims

        return retained_bytes(build) / 1e6

    def _table_mb(self, count: int, body: bytes) -> float:
        # Claims keep parts of the requests, so the requests are made inside.
        return retained_bytes(lambda: _filled_table(self.requests(count), body)) / 1e6


def _filled_table(requests: list[KeyedRequest], body: bytes) -> ClaimTable:
    table = ClaimTable(OPTIONS, ManualClock())
    table.acquire(Ownership(0, "vm", "1", 1, True, 0.0), None)
    for request in requests:
        _finish(table, table.claim(0, request), body)
    return table


def _finish(table: ClaimTable, claim: Claim, body: bytes) -> None:
    answer = Answer(
        201, (("Content-Type", "application/json"),), bytes(bytearray(body))
    )
    table.finish(0, claim, Reply(ReplyKind.ANSWER, RunState.RAN, answer))


def _forward_frames(size: int) -> tuple[Frame, ...]:
    request = KeyedRequest("acme", "k" * 36, "book", "POST", "/", (), b"x" * size)
    reply = Reply(ReplyKind.ANSWER, RunState.RAN, Answer(201, (), b"x" * 256))
    return (
        Frame(FrameKind.CALL, 1_000, ForwardRequest(1_000, 5, request)),
        Frame(FrameKind.CALL, 1_000, ForwardStatus(owned=True)),
        Frame(FrameKind.CALL, 1_000, ForwardReply(1_000, reply)),
    )


def _forward_bytes(size: int) -> float:
    return float(sum(len(encode(frame)) for frame in _forward_frames(size)))


def _encode_us(size: int) -> float:
    frames = _forward_frames(size)

    def encode_many() -> None:
        for _ in range(REPEATS):
            for frame in frames:
                encode(frame)

    return cpu_seconds(encode_many) / REPEATS * 1e6


def _series(
    name: str,
    size_unit: str,
    value_unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
    variant: str = "current",
) -> Series:
    points = tuple(Point(size, measure(size)) for size in sizes)
    return Series(name, variant, size_unit, value_unit, points)
