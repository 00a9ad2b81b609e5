"""Queues requests for their services and starts their deliveries."""

from result import Err

from lacewingpond.health.outcome import Outcome
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.placement.placer import Placer
from lacewingpond.proxy.delivery import Delivery, DeliveryResult
from lacewingpond.proxy.options import ProxyOptions
from lacewingpond.proxy.refusal import Refusal
from lacewingpond.proxy.routed_request import RoutedRequest
from lacewingpond.quarantine.service import QuarantineService
from lacewingpond.queues.fair_queue import FairQueue
from lacewingpond.queues.refusal import QueueRefusal
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.targets.client import TargetClient
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock


class Dispatcher:
    """Queues requests, then delivers each to a target of its service.

    It provides the `DeliveryContext` of its deliveries.

    Parameters
    ----------
    options : ProxyOptions
        Limits of one request.
    queue : FairQueue
        Limits and orders the concurrent requests of each service.
    placer : Placer
        Selects targets.
    client : TargetClient
        Sends requests to targets.
    health : HealthReporter
        Receives the outcomes of attempts.
    retries : RetryBudget
        Limits retries.
    quarantine : QuarantineService
        Refuses requests that crash targets.
    clock : Clock
        Measures deadlines.
    log : DecisionLog
        Receives retries.
    """

    __slots__ = (
        "options",
        "queue",
        "placer",
        "client",
        "health",
        "retries",
        "quarantine",
        "clock",
        "log",
    )

    def __init__(
        self,
        options: ProxyOptions,
        queue: FairQueue,
        placer: Placer,
        client: TargetClient,
        health: HealthReporter,
        retries: RetryBudget,
        quarantine: QuarantineService,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.options = options
        self.queue = queue
        self.placer = placer
        self.client = client
        self.health = health
        self.retries = retries
        self.quarantine = quarantine
        self.clock = clock
        self.log = log

    def dispatch(self, request: RoutedRequest) -> DeliveryResult:
        """Return the response to `request`, headers received, or a refusal."""
        quarantined_s = self.quarantine.quarantined_s(request.fingerprint)
        if quarantined_s > 0.0:
            return Err(_quarantine_refusal(quarantined_s))
        waited = self.queue.acquire(
            request.service.name, request.workspace, request.deadline
        )
        if waited.is_err():
            return Err(_queue_refusal(waited.err_value))
        slot = waited.ok_value
        delivery = Delivery(self, request, slot)
        try:
            response = delivery.run()
        except BaseException:
            slot.release(Outcome.CANCELLED, 0.0)
            raise
        if response.is_err():
            slot.release(delivery.outcome, delivery.latency_s)
        return response


def _quarantine_refusal(seconds: float) -> Refusal:
    detail = "Targets crashed during earlier runs of this request."
    return Refusal.not_run(503, "quarantined", detail, seconds)


def _queue_refusal(refusal: QueueRefusal) -> Refusal:
    return Refusal.not_run(
        503,
        refusal.reason.value,
        "The request could not be sent to a target in time.",
        refusal.retry_after_s,
    )
