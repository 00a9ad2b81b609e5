"""Sends requests to targets over bounded pools of connections."""

import errno
import random
from collections.abc import Callable

from result import Err, Ok, Result

from lacewingpond.config.model import Config, Target
from lacewingpond.http.errors import RequestBodyError
from lacewingpond.targets.connection import TargetConnection
from lacewingpond.targets.errors import (
    ExchangeError,
    SendError,
    SendFailure,
    SendReason,
)
from lacewingpond.targets.options import TargetOptions
from lacewingpond.targets.pool import ConnectionPool, PoolTable
from lacewingpond.targets.request import TargetRequest
from lacewingpond.targets.response import TargetResponse
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock


class TargetClient:
    """Sends each request at most once.

    Parameters
    ----------
    options : TargetOptions
        Timeouts and bounds.
    clock : Clock
        Measures ages and deadlines.
    rng : random.Random
        Spreads the ages of connections.
    log : DecisionLog
        Takes what was found about connections.

    Attributes
    ----------
    on_silent : callable or None
        Called with a target id and how many of its earlier timeouts were due to
        silent connections.
    """

    __slots__ = ("on_silent", "_options", "_clock", "_log", "_limits", "_pools")
    __slots__ += ("_default_limit",)

    def __init__(
        self,
        options: TargetOptions,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self.on_silent: Callable[[str, int], None] | None = None
        self._options = options
        self._clock = clock
        self._log = log
        self._limits: dict[str, int] = {}

        self._default_limit = options.connections_per_target

        def make(address: str) -> ConnectionPool:
            limit = self._limits.get(address, self._default_limit)
            return ConnectionPool(address, limit, options, clock, rng)

        self._pools = PoolTable(make)

    @classmethod
    def from_options(
        cls,
        options: TargetOptions,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> "TargetClient":
        """Build a client without connections."""
        return cls(options, clock, rng, log)

    def apply(self, cfg: Config, vm_count: int) -> None:
        """Take over the targets of a configuration.

        Parameters
        ----------
        cfg : Config
            Names the targets and their connection budgets.
        vm_count : int
            VMs that share the budget of a target.
        """
        self._limits = {
            target.address: max(1, service.connections_per_target // max(1, vm_count))
            for service in cfg.services
            for target in service.targets
        }
        for pool in self._pools:
            limit = self._limits.get(pool.address)
            if limit is None:
                pool.close_idle()
            else:
                pool.limit = limit

    def limit_all(self, connections: int) -> None:
        """Bound the connections that this VM holds to any one target."""
        self._default_limit = connections
        for pool in self._pools:
            pool.limit = connections

    def close_target(self, address: str) -> None:
        """Close the unused connections to a target that has gone or is new."""
        self._pools.get(address).close_idle()

    def send(
        self, target: Target, req: TargetRequest, deadline: float
    ) -> Result[TargetResponse, SendError]:
        """Send `req` to `target` and wait for the head of its answer.

        Parameters
        ----------
        target : Target
            Where to.
        req : TargetRequest
            What to send; its body can be sent only once.
        deadline : float
            When the head of the answer must have come, in monotonic seconds.
        """
        if deadline <= self._clock.now():
            return Err(SendError(SendFailure.NOT_SENT, SendReason.DEADLINE))
        pool = self._pools.get(target.address)
        taken = pool.take(fresh=not req.idempotent, deadline=deadline)
        if taken.is_err():
            return taken
        outcome = self._exchange(target, pool, taken.ok(), req, deadline)
        if outcome.is_ok() or not _found_closed(outcome.err()):
            return outcome
        # The target closed the idle connection, and nothing has left on it.
        taken = pool.take(fresh=True, deadline=deadline, new=True)
        if taken.is_err():
            return taken
        return self._exchange(target, pool, taken.ok(), req, deadline)

    def sweep(self) -> None:
        """Close connections unused for too long; to be called now and then."""
        self._pools.sweep()

    def close(self) -> None:
        """Close all connections, those in use after their exchange."""
        self._pools.close()

    def connections(self, target: Target) -> int:
        """Return how many connections are held to `target`."""
        return self._pools.get(target.address).size

    def _exchange(
        self,
        target: Target,
        pool: ConnectionPool,
        conn: TargetConnection,
        req: TargetRequest,
        deadline: float,
    ) -> Result[TargetResponse, SendError]:
        try:
            raw = conn.exchange(req, deadline)
            self._note_answer(target, pool, conn)
            conn.stream()
            return Ok(TargetResponse(raw, conn, pool, self._options, req.idempotent))
        except Exception as exc:
            error = self._error(target, pool, conn, exc)
            pool.discard(conn)
            return Err(error)
        except BaseException:
            pool.discard(conn)
            raise

    def _note_answer(
        self, target: Target, pool: ConnectionPool, conn: TargetConnection
    ) -> None:
        silent = pool.heard(conn)
        if silent == 0:
            return
        self._log.decision(
            "silent-connections", target.target_id, "a newer connection answered"
        )
        if self.on_silent is not None:
            self.on_silent(target.target_id, silent)

    def _error(
        self,
        target: Target,
        pool: ConnectionPool,
        conn: TargetConnection,
        exc: Exception,
    ) -> SendError:
        reason = _reason(exc)
        if reason is SendReason.DEADLINE and pool.is_silent(conn):
            reason = SendReason.SILENT_CONNECTION
        if reason is SendReason.SILENT_CONNECTION:
            self._log.decision(
                "silent-connections", target.target_id, "newer connections answer"
            )
        sent = conn.bytes_sent > 0
        if isinstance(exc, ValueError) and not sent:
            # The library refused the head; the target has seen nothing of it.
            reason = SendReason.CALLER_HEAD
        failure = SendFailure.UNKNOWN if sent else SendFailure.NOT_SENT
        return SendError(failure, reason, str(exc), conn.reused)


def _reason(exc: Exception) -> SendReason:
    if isinstance(exc, ExchangeError):
        return exc.reason
    if isinstance(exc, RequestBodyError):
        return SendReason.CALLER_BODY
    if isinstance(exc, TimeoutError) and exc.errno == errno.ETIMEDOUT:
        # The kernel's keep-alive probes were lost.
        return SendReason.SILENT_CONNECTION
    if isinstance(exc, TimeoutError):
        return SendReason.DEADLINE
    if isinstance(exc, OSError):
        return SendReason.BROKEN
    return SendReason.PROTOCOL


def _found_closed(error: SendError) -> bool:
    broken = error.reason is SendReason.BROKEN and error.reused
    return broken and error.failure is SendFailure.NOT_SENT
