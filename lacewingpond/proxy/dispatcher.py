"""Lets requests through to their services and hands them to deliveries."""

from result import Err

from lacewingpond.health.outcome import Outcome
from lacewingpond.health.reporter import HealthReporter
from lacewingpond.placement.placer import Placer
from lacewingpond.proxy.delivery import Answer, Delivery
from lacewingpond.proxy.job import Job
from lacewingpond.proxy.options import ProxyOptions
from lacewingpond.proxy.refused import Refused
from lacewingpond.quarantine.service import QuarantineService
from lacewingpond.queues.fair_queue import FairQueue
from lacewingpond.queues.refusal import QueueRefusal
from lacewingpond.retries.budget import RetryBudget
from lacewingpond.targets.client import TargetClient
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock


class Dispatcher:
    """Queues, places and sends requests, and retries where that is safe.

    Parameters
    ----------
    options : ProxyOptions
        Bounds of one request.
    queue : FairQueue
        Lets requests through to a service.
    placer : Placer
        Chooses targets.
    client : TargetClient
        Sends to them.
    health : HealthReporter
        Takes outcomes.
    retries : RetryBudget
        Bounds retries.
    quarantine : QuarantineService
        Refuses requests that crash targets.
    clock : Clock
        Measures deadlines.
    log : DecisionLog
        Takes retries and failures.
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

    def dispatch(self, job: Job) -> Answer:
        """Send `job` and return the head of its answer, or why there is none."""
        quarantined_s = self.quarantine.quarantined_s(job.fingerprint)
        if quarantined_s > 0.0:
            return Err(_quarantined(quarantined_s))
        waited = self.queue.acquire(job.service.name, job.workspace, job.deadline)
        if waited.is_err():
            return Err(_queue_refusal(waited.err_value))
        slot = waited.ok_value
        delivery = Delivery(self, job, slot)
        try:
            answer = delivery.run()
        except BaseException:
            slot.release(Outcome.CANCELLED, 0.0)
            raise
        if answer.is_err():
            slot.release(delivery.outcome, delivery.latency_s)
        return answer


def _quarantined(seconds: float) -> Refused:
    detail = "Earlier runs of this request coincided with crashes of its targets."
    return Refused.not_run(503, "quarantined", detail, seconds)


def _queue_refusal(refusal: QueueRefusal) -> Refused:
    return Refused.not_run(
        503,
        refusal.reason.value,
        "The request could not be sent to a target in time.",
        refusal.retry_after_s,
    )
