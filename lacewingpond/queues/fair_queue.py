"""The queues of all services of one VM."""

import gevent
from result import Err, Result

from lacewingpond.config.model import Config
from lacewingpond.queues.fair_order import FairOrder
from lacewingpond.queues.limit import AdaptiveLimit
from lacewingpond.queues.options import QueueOptions
from lacewingpond.queues.refusal import QueueReason, QueueRefusal
from lacewingpond.queues.service_queue import ServiceQueue
from lacewingpond.queues.slot import Slot
from lacewingpond.queues.ticket import Ticket
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock

DEFAULT_WEIGHT = 1.0
"""Weight of requests without a workspace, as a rate of one request a second."""


class FairQueue:
    """Gives slots of services to requests, fairly by workspace.

    Parameters
    ----------
    options : QueueOptions
        Bounds of each service's queue.
    clock : Clock
        Time source.
    log, metrics : DecisionLog, Metrics
        Take refusals.
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
        """Build the queues; `configure` names the services."""
        return cls(options, clock, log, metrics)

    def configure(self, cfg: Config) -> None:
        """Apply the services of a revision; waiting requests stay queued."""
        self._rates = {w.name: w.rate for w in cfg.workspaces if w.rate > 0.0}
        wanted = {service.name for service in cfg.services}
        for gone in [name for name in self._queues if name not in wanted]:
            self._close(self._queues.pop(gone))
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
            Where the request goes.
        workspace : str
            Whose request it is.
        deadline : float
            When it must have finished, in seconds of the clock.

        Returns
        -------
        Result of Slot, QueueRefusal
            A slot, to be given back by `release`; or a refusal, given as soon
            as it is known that the request can't finish in time.
        """
        queue = self._queues.get(service)
        if queue is None:
            return Err(QueueRefusal(QueueReason.UNKNOWN_SERVICE, 1.0))
        ticket = queue.offer(workspace, deadline)
        if ticket.result is None:
            self._wait(queue, ticket)
        if ticket.result.is_err():
            self._report(service, workspace, ticket.result.err_value)
        return ticket.result

    def waiting(self, service: str) -> int:
        """Return the number of requests that wait for `service`."""
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
            queue.withdraw(ticket)
            raise

    def _sweep(self) -> None:
        """Refuse late requests, as long as any wait."""
        while any(len(queue) for queue in self._queues.values()):
            self._clock.sleep(self._options.sweep_s)
            for queue in self._queues.values():
                if len(queue):
                    queue.expire()
        self._sweeper = None

    def _close(self, queue: ServiceQueue) -> None:
        queue.refuse_all(QueueReason.UNKNOWN_SERVICE)

    def _report(self, service: str, workspace: str, refusal: QueueRefusal) -> None:
        self._metrics.incr(f"queue.refused.{refusal.reason.value}")
        self._log.decision(
            "queue",
            service,
            refusal.reason.value,
            workspace=workspace,
            retry_after_s=round(refusal.retry_after_s, 3),
        )
