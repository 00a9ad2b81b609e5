"""Costs of idempotency keys as the kept claims and answers grow."""

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
from lacewingpond.util.clock import PausedClock
from lacewingpond.util.stopwatch import cpu_seconds, retained_bytes

SIZES = (1_000, 4_000, 10_000, 20_000)
ANSWER_BYTES = (0, 256, 1_024, 4_096)
BODIES = (0, 1_024, 16_384, 131_072)
TRIES = 1_000
MEDIUM_SIZE = 1_000
OPTIONS = IdempotencyOptions(max_claims=1_000_000, max_kept_bytes=1 << 40)


class ClaimBench:
    """Memory and processor time of claims and answers."""

    name = "claims"
    summary = "Memory and processor time of idempotency keys and kept answers."

    def run(self, seed: int) -> tuple[Series, ...]:
        """Measure."""
        keys = Keys(seed)
        return (
            _series("memory of claims", "claims", "MB", SIZES, keys.claim_mb),
            _series("memory of answers", "bytes", "MB", ANSWER_BYTES, keys.answer_mb),
            _series("a new claim", "claims", "us", SIZES, keys.claim_us),
            _series("a repeat", "claims", "us", SIZES, keys.repeat_us),
            _series("hand-over and adoption", "claims", "ms", SIZES, keys.move_ms),
            _series("forward, all messages", "bytes", "bytes", BODIES, _forward_bytes),
            _series("coding of a forward", "bytes", "us", BODIES, _coding_us),
            _series(
                "memory of claims",
                "claims",
                "MB",
                SIZES,
                keys.local_mb,
                variant="local claims",
            ),
        )


class Keys:
    """Draws requests with random keys.

    Parameters
    ----------
    seed : int
        Seed of the keys.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)

    def requests(self, count: int) -> list[KeyedRequest]:
        """Return requests of 36-character keys without a date."""
        return [
            KeyedRequest("acme", f"{self._rng.getrandbits(144):036x}", "r", "POST", "/")
            for _ in range(count)
        ]

    def claim_mb(self, count: int) -> float:
        """Return the memory of `count` finished claims, in MB."""
        return self._table_mb(count, b"")

    def answer_mb(self, size: int) -> float:
        """Return the memory of 1,000 claims with answers, in MB."""
        return self._table_mb(MEDIUM_SIZE, b"x" * size)

    def claim_us(self, count: int) -> float:
        """Return the time of a new claim beside `count` others."""
        table = _filled(self.requests(count), b"")
        more = iter(self.requests(4 * TRIES))

        def claim_many() -> None:
            for _ in range(TRIES):
                request = next(more)
                if table.repeat(0, request) is None:
                    _finish(table, table.claim(0, request), b"")

        return cpu_seconds(claim_many) / TRIES * 1e6

    def repeat_us(self, count: int) -> float:
        """Return the time to find the claim of a repeat."""
        requests = self.requests(count)
        table = _filled(requests, b"")
        repeats = requests[:TRIES]
        seconds = cpu_seconds(lambda: [table.repeat(0, r) for r in repeats])
        return seconds / TRIES * 1e6

    def move_ms(self, count: int) -> float:
        """Return the time to hand over and adopt `count` claims."""
        table = _filled(self.requests(count), b"x" * 64)

        def move() -> None:
            state, _ = table.release(0)
            table.adopt(Ownership(0, "vm", "1", 2, True, 0.0), state)

        return cpu_seconds(move) * 1e3

    def local_mb(self, count: int) -> float:
        """Return the memory of the simple way, which keeps keys and replies."""
        requests = self.requests(count)

        def build() -> LocalClaims:
            claims = LocalClaims(None)
            for request in requests:
                reply = Reply(ReplyKind.ANSWER, RunState.RAN, Answer(201))
                claims.remember(request, reply)
            return claims

        return retained_bytes(build) / 1e6

    def _table_mb(self, count: int, body: bytes) -> float:
        # The requests are made within, as claims keep parts of them.
        return retained_bytes(lambda: _filled(self.requests(count), body)) / 1e6


def _filled(requests: list[KeyedRequest], body: bytes) -> ClaimTable:
    table = ClaimTable(OPTIONS, PausedClock())
    table.adopt(Ownership(0, "vm", "1", 1, True, 0.0), None)
    for request in requests:
        _finish(table, table.claim(0, request), body)
    return table


def _finish(table: ClaimTable, claim: Claim, body: bytes) -> None:
    answer = Answer(
        201, (("Content-Type", "application/json"),), bytes(bytearray(body))
    )
    table.finish(0, claim, Reply(ReplyKind.ANSWER, RunState.RAN, answer))


def _forward(size: int) -> tuple[Frame, ...]:
    request = KeyedRequest("acme", "k" * 36, "book", "POST", "/", (), b"x" * size)
    reply = Reply(ReplyKind.ANSWER, RunState.RAN, Answer(201, (), b"x" * 256))
    return (
        Frame(FrameKind.CALL, 1_000, ForwardRequest(1_000, 5, request)),
        Frame(FrameKind.CALL, 1_000, ForwardStatus(owned=True)),
        Frame(FrameKind.CALL, 1_000, ForwardReply(1_000, reply)),
    )


def _forward_bytes(size: int) -> float:
    return float(sum(len(encode(frame)) for frame in _forward(size)))


def _coding_us(size: int) -> float:
    frames = _forward(size)

    def encode_many() -> None:
        for _ in range(TRIES):
            for frame in frames:
                encode(frame)

    return cpu_seconds(encode_many) / TRIES * 1e6


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
