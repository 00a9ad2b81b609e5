"""Admission by priority class, with a waiting queue for each service."""

import random

from gevent.event import Event

from lacewingpond.entry.admission.class_order import AdmissionTicket
from lacewingpond.entry.admission.options import AdmissionOptions
from lacewingpond.entry.admission.priority_classes import PriorityClasses
from lacewingpond.entry.admission.service_capacity import Capacity
from lacewingpond.entry.admission.waiting_line import WaitingLine
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.requests.refusal import EntryRefusal
from lacewingpond.entry.requests.routed_request import EntryRequest
from lacewingpond.queues.refusal import QueueReason
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

SWEEP_INTERVAL_S = 0.02  # a twentieth of the usual duration of a request
CALLER_CHECK_INTERVAL_S = 0.1  # as for requests that wait for their targets
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
RETRY_SPREAD = 0.5  # callers return over this share of the time that the backlog takes
DEFAULT_WEIGHT = 1.0  # of workspaces without a rate, as for 1 request a second
INTERRUPTED = "interrupted"


class QueueAdmission:
    """Admits requests to loaded services by class and in fair order.

    Parameters
    ----------
    options : AdmissionOptions
        Thresholds and bounds.
    capacity : Capacity
        Loads and sizes of the services.
    clock : Clock
        Time source.
    rng : random.Random
        Spreads retry times.
    log : DecisionLog
        Records requests that waited or were refused.

    Attributes
    ----------
    options : AdmissionOptions
        May be replaced; if they are disabled all requests are admitted.
    """

    __slots__ = ("options", "_capacity", "_clock", "_rng", "_log", "_lines")
    __slots__ += ("_classes", "_rates", "_waits")

    def __init__(
        self,
        options: AdmissionOptions,
        capacity: Capacity,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self.options = options
        self._capacity = capacity
        self._clock = clock
        self._rng = rng
        self._log = log
        self._lines: dict[str, WaitingLine] = {}
        self._classes = PriorityClasses(None)
        self._rates: dict[str, float] = {}
        self._waits = Event()

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(len(line.order) for line in self._lines.values())

    def configure(self, cfg: EntryConfig) -> None:
        """Apply the priorities and rates of a configuration.

        Requests that wait for removed services stay until their route is checked.
        """
        self._classes = PriorityClasses(cfg)
        self._rates = {w.name: w.rate for w in cfg.workspaces.values() if w.rate > 0.0}
        self._lines = {
            service: line
            for service, line in self._lines.items()
            if service in cfg.services or len(line.order)
        }

    def admit(self, request: EntryRequest) -> EntryRefusal | None:
        """Wait until the request is admitted; return the refusal if it is not.

        A relayed request has been admitted by the VM that relays it.
        """
        if not self.options.enabled or request.is_relayed:
            return None
        line = self._lines.get(request.service)
        is_empty = line is None or not len(line.order)
        if is_empty and self._capacity.load(request.service) < self.options.busy_load:
            return None
        line = self._line(request.service)
        now = self._clock.now()
        line.release(now)
        ticket = AdmissionTicket(request, self._start_by(request), now)
        if line.has_room(ticket):
            return None
        line.push(ticket, self.options)
        line.release(now)
        try:
            self._wait(line, ticket)
        finally:
            line.start(ticket)
        return self._end(line, ticket)

    def retry_after_s(self, request: EntryRequest) -> float | None:
        """Return the retry time for the caller in seconds, None if disabled.

        It is the time that the backlog takes, and up to half more so that callers do
        not return all at once; less urgent classes return later.
        """
        if not self.options.enabled:
            return None
        line = self._line(request.service)
        backlog_s = line.backlog_s(request.route, self.options.busy_load)
        rank = self._classes.rank(request.service, request.priority)
        drawn = (rank + self._rng.random()) / self._classes.count(request.service)
        # The bounds apply before the spread, which they would take away.
        least_s = max(backlog_s, MIN_RETRY_AFTER_S)
        most_s = MAX_RETRY_AFTER_S / (1.0 + RETRY_SPREAD)
        return min(least_s, most_s) * (1.0 + RETRY_SPREAD * drawn)

    def is_most_urgent(self, request: EntryRequest) -> bool:
        """Return whether no class of its service is more urgent; True if disabled."""
        if not self.options.enabled:
            return True
        return self._classes.rank(request.service, request.priority) == 0

    def run(self) -> None:
        """Release, expire and remove waiting requests; never returns."""
        checked_at = self._clock.now()
        while True:
            self._waits.wait()
            while self.waiting:
                self._clock.sleep(SWEEP_INTERVAL_S)
                now = self._clock.now()
                is_due = now - checked_at >= CALLER_CHECK_INTERVAL_S
                checked_at = now if is_due else checked_at
                for line in tuple(self._lines.values()):
                    if is_due:
                        line.drop_disconnected()
                    line.release(now)
                    line.drop_expired(now)
            self._waits.clear()

    def _line(self, service: str) -> WaitingLine:
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = WaitingLine(
                service,
                self._capacity,
                lambda priority: self._threshold(service, priority),
                lambda name: self._rates.get(name, DEFAULT_WEIGHT),
            )
        return line

    def _threshold(self, service: str, priority: int) -> float:
        """Return the load below which a class is admitted; no bound if disabled."""
        if not self.options.enabled:
            return float("inf")
        return self._classes.threshold(service, priority, self.options)

    def _start_by(self, request: EntryRequest) -> float:
        """Return when the delivery must start to end within the latency objective."""
        due = request.received_at + request.route.target_latency_s
        return min(due, request.deadline) - self._capacity.usual_s(request.route)

    def _wait(self, line: WaitingLine, ticket: AdmissionTicket) -> None:
        self._waits.set()
        try:
            ticket.wait()
        except BaseException:
            # A planned stop ends, or the connection was closed.
            self._record(line, ticket, "refused", INTERRUPTED)
            raise

    def _end(self, line: WaitingLine, ticket: AdmissionTicket) -> EntryRefusal | None:
        """Record the result of a request and return its refusal, if it has one."""
        if ticket.result.is_ok():
            self._record(line, ticket, "waited")
            return None
        reason = ticket.result.err_value.reason
        self._record(line, ticket, "refused", reason.value)
        if reason is QueueReason.CALLER_GONE:
            detail = "The caller disconnected while the request waited."
            return EntryRefusal.not_run(503, reason.value, detail)
        detail = "The service has no room for the request in time."
        retry_after_s = self.retry_after_s(ticket.request)
        return EntryRefusal.not_run(503, "no-room", detail, retry_after_s)

    def _record(
        self, line: WaitingLine, ticket: AdmissionTicket, why: str, cause: str = ""
    ) -> None:
        request, now = ticket.request, self._clock.now()
        self._log.decision(
            "admission",
            request.request_id,
            why,
            **({"cause": cause} if cause else {}),
            service=request.service,
            workspace=request.workspace,
            priority=request.priority,
            ms=round((now - ticket.arrived_at) * 1000.0),
            left_ms=round((request.deadline - now) * 1000.0),
            load=round(line.load(), 2),
            threshold=round(self._threshold(request.service, request.priority), 2),
            waiting=len(line.order),
        )
