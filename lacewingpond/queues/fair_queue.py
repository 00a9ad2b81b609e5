"""Request queues of all services on one VM."""

import gevent
from result import Err, Result

from lacewingpond.config.model import Config
from lacewingpond.queues.adaptive_limit import AdaptiveLimit
from lacewingpond.queues.fair_order import FairOrder
from lacewingpond.queues.options import QueueOptions
from lacewingpond.queues.refusal import QueueReason, QueueRefusal
from lacewingpond.queues.service_queue import ServiceQueue
from lacewingpond.queues.slot import Slot
from lacewingpond.queues.ticket import Ticket
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

DEFAULT_WEIGHT = 1.0
"""Weight of requests without a rate-limited workspace, as for 1 request per second."""


class FairQueue:
    """Assigns the slots of services to requests, weighted by the workspaces' rates.

    Parameters
    ----------
    options : QueueOptions
        Bounds of each service's queue.
    clock : Clock
        Source of time.
    log, metrics : DecisionLog, Metrics
        Record refusals.
    """

    __slots__ = (
        "_options",
        "_clock",
        "_log",
        "_metrics",
        "_queues",
        "_rates",
        "_sweeper",
    )

    def __init__(
        self, options: QueueOptions, clock: Clock, log: DecisionLog, metrics: Metrics
    ) -> None:
        self._options = options
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._queues: dict[str, ServiceQueue] = {}
        self._rates: dict[str, float] = {}
        self._sweeper: gevent.Greenlet | None = None

    @classmethod
    def from_options(
        cls, options: QueueOptions, clock: Clock, log: DecisionLog, metrics: Metrics
    ) -> "FairQueue":
        """Create an instance without queues; `configure` adds those of the services."""
        return cls(options, clock, log, metrics)

    def configure(self, cfg: Config) -> None:
        """Apply the rates of the workspaces, and add and remove queues of services.

        Requests that wait for a removed service are refused; all others stay queued.
        """
        self._rates = {w.name: w.rate for w in cfg.workspaces if w.rate > 0.0}
        wanted = {service.name for service in cfg.services}
        for removed in [name for name in self._queues if name not in wanted]:
            self._close(self._queues.pop(removed))
        for name in wanted:
            if name not in self._queues:
                self._queues[name] = ServiceQueue(
                    self._options,
                    FairOrder(self._weight_of),
                    AdaptiveLimit(self._options),
                    self._clock,
                )

    def acquire(
        self, service: str, workspace: str, deadline: float
    ) -> Result[Slot, QueueRefusal]:
        """Wait for a slot.

        Parameters
        ----------
        service : str
            Service that the request is for.
        workspace : str
            Workspace of the request; empty on open routes.
        deadline : float
            Time of the clock by which the request must finish, in seconds.

        Returns
        -------
        Result of Slot, QueueRefusal
            A slot, which the caller must release; or a refusal, as soon as the
            request is not expected to finish in time.
        """
        queue = self._queues.get(service)
        if queue is None:
            return Err(QueueRefusal(QueueReason.UNKNOWN_SERVICE, 1.0))
        ticket = queue.offer(workspace, deadline)
        if ticket.result is None:
            self._wait(queue, ticket)
        if ticket.result.is_err():
            self._record_refusal(service, workspace, ticket.result.err_value)
        return ticket.result

    def waiting(self, service: str) -> int:
        """Return the number of requests waiting for `service`."""
        queue = self._queues.get(service)
        return len(queue) if queue is not None else 0

    def _weight_of(self, workspace: str) -> float:
        return self._rates.get(workspace, DEFAULT_WEIGHT)

    def _wait(self, queue: ServiceQueue, ticket: Ticket) -> None:
        if self._sweeper is None:
            self._sweeper = gevent.spawn(self._sweep)
        try:
            ticket.wait()
        except BaseException:
            queue.cancel(ticket)
            raise

    def _sweep(self) -> None:
        """Refuse requests whose deadline has passed, while any request waits."""
        while any(len(queue) for queue in self._queues.values()):
            self._clock.sleep(self._options.sweep_s)
            for queue in self._queues.values():
                if len(queue):
                    queue.expire()
        self._sweeper = None

    def _close(self, queue: ServiceQueue) -> None:
        queue.refuse_all(QueueReason.UNKNOWN_SERVICE)

    def _record_refusal(
        self, service: str, workspace: str, refusal: QueueRefusal
    ) -> None:
        self._metrics.incr(f"queue.refused.{refusal.reason.value}")
        self._log.decision(
            "queue",
            service,
            refusal.reason.value,
            workspace=workspace,
            retry_after_s=round(refusal.retry_after_s, 3),
        )
