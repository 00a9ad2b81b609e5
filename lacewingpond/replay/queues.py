"""Replays workspaces that compete for a service through queue orders."""

import random
from enum import Enum

import gevent

from lacewingpond.health.outcome import Outcome
from lacewingpond.queues.adaptive_limit import AdaptiveLimit
from lacewingpond.queues.fair_order import FairOrder
from lacewingpond.queues.options import QueueOptions
from lacewingpond.queues.order import QueueOrder
from lacewingpond.queues.service_queue import ServiceQueue
from lacewingpond.replay.base import Measures, Variant
from lacewingpond.replay.queue_orders import DeadlineOrder, FifoOrder, RoundRobinOrder
from lacewingpond.replay.trace import Expectation, Trace, TraceEvent, TraceHeader
from lacewingpond.util.clock import ManualClock

SLOTS = 36
# Median processing time of a request.
WORK_S = 0.04
# Standard deviation of the logarithm of the processing time.
WORK_SIGMA = 0.5
# Mean processing time that follows from the two.
MEAN_WORK_S = 0.0453
BURST_S = 0.5
"""Burst of a workspace, in seconds of its rate."""
DEADLINES_S = (0.3, 1.0, 3.0)
SWEEP_S = 0.02
LARGE_SHARE = 0.25
"""Share of all requests that each of the two large workspaces sends."""


class Order(Enum):
    """Queue orders that can be replayed."""

    FIFO = "fifo"
    DEADLINE = "deadline"
    ROUND_ROBIN = "turns"
    """Deficit round robin with equal weights."""
    WEIGHTED_ROUND_ROBIN = "weighted"
    """Deficit round robin with the workspaces' rates as weights."""
    FAIR = "fair"
    """As `WEIGHTED_ROUND_ROBIN`, but earliest deadline first within a workspace."""


class QueueReplayer:
    """Replays the scenario ``queues``."""

    scenario = "queues"

    def play(self, trace: Trace, variant: Variant) -> Measures:
        """Return the measures of the daemon's order, or of first come, first served."""
        if variant is Variant.NAIVE:
            return self.play_order(trace, Order.FIFO, refuse_ratio=0.0)
        return self.play_order(trace, Order.FAIR, QueueOptions().refuse_ratio)

    def play_order(self, trace: Trace, order: Order, refuse_ratio: float) -> Measures:
        """Return the measures of one order.

        With a `refuse_ratio` of 0 no request is refused early.
        """
        return _Run(trace, order, refuse_ratio).play()

    def generate(self, seed: int) -> tuple[tuple[str, Trace], ...]:
        """Return pairs of file name and trace, generated from `seed`."""
        return (
            _fivefold_excess(seed),
            _capacity_loss(seed),
            _large_capacity_loss(seed),
        )


def _trace(
    name: str,
    title: str,
    seed: int,
    expect: tuple[Expectation, ...],
    *events: TraceEvent,
) -> tuple[str, Trace]:
    header = TraceHeader(
        "queues",
        title,
        seed,
        expect,
        {"seconds": 30, "workspaces": 8, "load": 0.8},
    )
    return f"queues-{name}", Trace(header, events)


def _fivefold_excess(seed: int) -> tuple[str, Trace]:
    event = TraceEvent(5.0, "excess", "w0", {"factor": 5.0, "seconds": 20.0})
    expect = (
        Expectation("worst_others_served", at_least=0.99),
        Expectation("refused_others", at_most=0.01),
    )
    title = "a large workspace sends 5 times its rate to the queue"
    return _trace("five-times", title, seed, expect, event)


def _capacity_loss(seed: int) -> tuple[str, Trace]:
    event = TraceEvent(10.0, "slots", "", {"share": 0.7, "seconds": 10.0})
    expect = (Expectation("lost_share", below_naive=True),)
    title = "30% of the slots are gone for 10 s, all keep their rates"
    return _trace("lost-capacity", title, seed, expect, event)


def _large_capacity_loss(seed: int) -> tuple[str, Trace]:
    event = TraceEvent(10.0, "slots", "", {"share": 0.4, "seconds": 10.0})
    title = "60% of the slots are gone for 10 s, all keep their rates"
    expect = (
        Expectation("lost_share", below_naive=True),
        Expectation("refusal_wait_ms", below_naive=True),
        Expectation("late_share", at_most=0.01),
    )
    return _trace("deep-loss", title, seed, expect, event)


class _Workspace:
    """A workspace's load, its token bucket and the counts of its requests."""

    __slots__ = (
        "name",
        "rate",
        "factor",
        "tokens",
        "refilled_at",
        "sent",
        "served",
        "refused",
    )

    def __init__(self, name: str, rate: float) -> None:
        self.name = name
        self.rate = rate
        self.factor = 1.0
        self.tokens = rate * BURST_S
        self.refilled_at = 0.0
        self.sent = 0
        self.served = 0
        self.refused = 0

    def take_token(self, now: float) -> bool:
        """Take a token, if there is one, and return whether there was."""
        refill = (now - self.refilled_at) * self.rate
        self.refilled_at = now
        self.tokens = min(self.tokens + refill, self.rate * BURST_S)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class _SlotLimit:
    """Allows as many requests in flight as the service has slots."""

    __slots__ = ("slots", "_adaptive")

    def __init__(self, options: QueueOptions) -> None:
        self.slots = SLOTS
        self._adaptive = AdaptiveLimit(options)

    @property
    def limit(self) -> int:
        return self.slots

    @property
    def mean_latency_s(self) -> float:
        return self._adaptive.mean_latency_s

    def update(
        self, now: float, outcome: Outcome, latency_s: float, in_flight: int
    ) -> None:
        self._adaptive.update(now, outcome, latency_s, in_flight)


class _Run:
    """Replay of one trace with one order; each request is a greenlet."""

    def __init__(self, trace: Trace, order: Order, refuse_ratio: float) -> None:
        params = trace.header.params
        self.trace = trace
        self.seconds = float(params["seconds"])
        self.rng = random.Random(trace.header.seed)
        self.clock = ManualClock()
        self.start = self.clock.now()
        options = QueueOptions(refuse_ratio=refuse_ratio)
        self.limit = _SlotLimit(options)
        self.workspaces = self._create_workspaces(params)
        self.queue = ServiceQueue(
            options, self._build_order(order), self.limit, self.clock
        )
        self.late = 0
        self.completed = 0
        self.refusal_waits: list[float] = []

    def play(self) -> Measures:
        loops = [gevent.spawn(self._arrivals, w) for w in self.workspaces]
        loops += [gevent.spawn(self._apply, event) for event in self.trace.events]
        loops.append(gevent.spawn(self._sweep))
        self.clock.advance(self.seconds + 2.0 * max(DEADLINES_S))
        gevent.killall(loops)
        return self._measures()

    def _create_workspaces(
        self, params: dict[str, float | int | str]
    ) -> list[_Workspace]:
        count = int(params["workspaces"])
        total = float(params["load"]) * SLOTS / MEAN_WORK_S
        shares = [LARGE_SHARE] * 2
        shares += [(1.0 - 2.0 * LARGE_SHARE) / (count - 2)] * (count - 2)
        return [_Workspace(f"w{n}", total * share) for n, share in enumerate(shares)]

    def _build_order(self, order: Order) -> QueueOrder:
        rates = {w.name: w.rate for w in self.workspaces}
        if order is Order.FIFO:
            return FifoOrder()
        if order is Order.DEADLINE:
            return DeadlineOrder()
        if order is Order.ROUND_ROBIN:
            return RoundRobinOrder(lambda workspace: 1.0)
        if order is Order.WEIGHTED_ROUND_ROBIN:
            return RoundRobinOrder(rates.__getitem__)
        return FairOrder(rates.__getitem__)

    def _apply(self, event: TraceEvent) -> None:
        self.clock.sleep(event.at)
        if event.kind == "slots":
            self.limit.slots = round(SLOTS * float(event.fields["share"]))
            self.clock.sleep(float(event.fields["seconds"]))
            self.limit.slots = SLOTS
            return
        workspace = next(w for w in self.workspaces if w.name == event.subject)
        workspace.factor = float(event.fields["factor"])
        self.clock.sleep(float(event.fields["seconds"]))
        workspace.factor = 1.0

    def _sweep(self) -> None:
        while True:
            self.clock.sleep(SWEEP_S)
            self.queue.expire()

    def _arrivals(self, workspace: _Workspace) -> None:
        while self.clock.now() < self.start + self.seconds:
            gap_s = self.rng.expovariate(workspace.rate * workspace.factor)
            self.clock.sleep(gap_s)
            gevent.spawn(self._request, workspace)

    def _request(self, workspace: _Workspace) -> None:
        arrived = self.clock.now()
        is_within_rate = workspace.take_token(arrived - self.start)
        workspace.sent += is_within_rate
        deadline = arrived + self.rng.choice(DEADLINES_S)
        work_s = WORK_S * self.rng.lognormvariate(0.0, WORK_SIGMA)
        result = self.queue.offer(workspace.name, deadline).wait()
        if result.is_err():
            workspace.refused += is_within_rate
            self.refusal_waits.append(self.clock.now() - arrived)
            return
        self.clock.sleep(work_s)
        in_time = self.clock.now() <= deadline
        self.completed += 1
        self.late += not in_time
        workspace.served += is_within_rate and in_time
        result.ok_value.release(Outcome.OK, work_s)

    def _measures(self) -> Measures:
        excess = {e.subject for e in self.trace.events if e.kind == "excess"}
        others = [w for w in self.workspaces if w.name not in excess]
        sent = sum(w.sent for w in self.workspaces)
        served = sum(w.served for w in self.workspaces)
        waits = self.refusal_waits
        return {
            "worst_served": min(w.served / w.sent for w in self.workspaces),
            "worst_others_served": min(w.served / w.sent for w in others),
            "refused_others": max(w.refused / w.sent for w in others),
            "lost_share": (sent - served) / sent,
            "late_share": self.late / max(self.completed, 1),
            "refusal_wait_ms": 1000.0 * sum(waits) / max(len(waits), 1),
        }
