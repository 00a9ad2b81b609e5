"""HTTP client that sends requests to targets over bounded connection pools."""

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
    """Sends each request to its target at most once.

    Parameters
    ----------
    options : TargetOptions
        Timeouts and limits.
    clock : Clock
        Time source of ages and deadlines.
    rng : random.Random
        Randomises the ages at which connections are replaced.
    log : DecisionLog
        Records silent connections.

    Attributes
    ----------
    on_silent_connections : callable or None
        Called with a target id and the number of its earlier timeouts that were due
        to silent connections.
    """

    __slots__ = (
        "on_silent_connections",
        "_options",
        "_clock",
        "_log",
        "_limits",
        "_pools",
    )
    __slots__ += ("_default_limit",)

    def __init__(
        self,
        options: TargetOptions,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self.on_silent_connections: Callable[[str, int], None] | None = None
        self._options = options
        self._clock = clock
        self._log = log
        self._limits: dict[str, int] = {}

        self._default_limit = options.connections_per_target

        def build_pool(address: str) -> ConnectionPool:
            limit = self._limits.get(address, self._default_limit)
            return ConnectionPool(address, limit, options, clock, rng)

        self._pools = PoolTable(build_pool)

    @classmethod
    def from_options(
        cls,
        options: TargetOptions,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> "TargetClient":
        """Return a client without connections."""
        return cls(options, clock, rng, log)

    def configure(self, cfg: Config, vm_count: int) -> None:
        """Set the connection limits of the targets in a configuration.

        Idle connections to other targets are closed.

        Parameters
        ----------
        cfg : Config
            Targets and the connections allowed to each.
        vm_count : int
            Number of VMs among which the connections of a target are divided.
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

    def set_connection_limit(self, connections: int) -> None:
        """Set one limit on the connections of this VM to each target."""
        self._default_limit = connections
        for pool in self._pools:
            pool.limit = connections

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a target that was removed or replaced."""
        self._pools.get(address).close_idle()

    def send(
        self, target: Target, req: TargetRequest, deadline: float
    ) -> Result[TargetResponse, SendError]:
        """Send `req` to `target` and wait for the headers of its response.

        Parameters
        ----------
        target : Target
            Where to send it.
        req : TargetRequest
            The request; its body can be sent only once.
        deadline : float
            Time limit for the response headers, in monotonic seconds.

        Returns
        -------
        Result of TargetResponse, SendError
            A response, which must be closed, or why there is none.
        """
        if deadline <= self._clock.now():
            return Err(SendError(SendFailure.NOT_SENT, SendReason.DEADLINE))
        pool = self._pools.get(target.address)
        acquired = pool.acquire(fresh=not req.idempotent, deadline=deadline)
        if acquired.is_ok() and acquired.ok_value.has_carried(req):
            pool.discard(acquired.ok_value)
            acquired = pool.acquire(fresh=True, deadline=deadline, new=True)
        if acquired.is_err():
            return acquired
        outcome = self._exchange(target, pool, acquired.ok(), req, deadline)
        if outcome.is_ok() or not _was_closed_while_idle(outcome.err()):
            return outcome
        # The target closed the idle connection before any byte was sent on it.
        acquired = pool.acquire(fresh=True, deadline=deadline, new=True)
        if acquired.is_err():
            return acquired
        return self._exchange(target, pool, acquired.ok(), req, deadline)

    def sweep(self) -> None:
        """Close connections that were idle too long; to be called periodically."""
        self._pools.sweep()

    def close(self) -> None:
        """Close all idle connections; the others are closed after their exchange."""
        self._pools.close()

    def connections(self, target: Target) -> int:
        """Return the number of connections to `target`."""
        return self._pools.get(target.address).size

    def idle_connections(self, target: Target) -> int:
        """Return the number of connections to `target` that carry no exchange."""
        return self._pools.get(target.address).idle

    def open_idle(self, target: Target, deadline: float) -> bool:
        """Open a connection for later requests, and return whether it was accepted.

        At the limit of connections one is open already, which counts as accepted.

        Parameters
        ----------
        target : Target
            Where to connect to.
        deadline : float
            Time limit in monotonic seconds.
        """
        pool = self._pools.get(target.address)
        acquired = pool.acquire(fresh=True, deadline=deadline, new=True)
        if acquired.is_err():
            return acquired.err_value.reason is SendReason.CONNECTION_LIMIT
        pool.release(acquired.ok_value)
        return True

    def mark_silent(self) -> None:
        """Treat all open connections as silent: close the idle ones, mark the others.

        Requests on them go on, but count as overdue after `silent_after_s`.
        """
        for pool in self._pools:
            pool.mark_silent()

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
            self._note_response(target, pool, conn)
            conn.clear_deadline()
            return Ok(TargetResponse(raw, conn, pool, self._options, req.idempotent))
        except Exception as exc:
            error = self._send_error(target, pool, conn, exc)
            pool.discard(conn)
            return Err(error)
        except BaseException:
            pool.discard(conn)
            raise

    def _note_response(
        self, target: Target, pool: ConnectionPool, conn: TargetConnection
    ) -> None:
        silent_timeouts = pool.note_response(conn)
        if silent_timeouts == 0:
            return
        self._log.decision(
            "silent-connections",
            target.target_id,
            "a newer connection got a response",
        )
        if self.on_silent_connections is not None:
            self.on_silent_connections(target.target_id, silent_timeouts)

    def _send_error(
        self,
        target: Target,
        pool: ConnectionPool,
        conn: TargetConnection,
        exc: Exception,
    ) -> SendError:
        reason = _reason_of(exc)
        if reason is SendReason.DEADLINE and pool.note_timeout(conn):
            reason = SendReason.SILENT_CONNECTION
        if reason is SendReason.SILENT_CONNECTION:
            self._log.decision(
                "silent-connections",
                target.target_id,
                "newer connections get responses",
            )
        was_sent = conn.bytes_sent > 0
        if isinstance(exc, ValueError) and not was_sent:
            # urllib3 rejected the headers, and the target has got no byte of them.
            reason = SendReason.CALLER_HEADERS
        failure = SendFailure.UNKNOWN if was_sent else SendFailure.NOT_SENT
        return SendError(failure, reason, str(exc), conn.reused)


def _reason_of(exc: Exception) -> SendReason:
    if isinstance(exc, ExchangeError):
        return exc.reason
    if isinstance(exc, RequestBodyError):
        return SendReason.CALLER_BODY
    if isinstance(exc, TimeoutError) and exc.errno == errno.ETIMEDOUT:
        # The kernel got no acknowledgement of its TCP keep-alive probes.
        return SendReason.SILENT_CONNECTION
    if isinstance(exc, TimeoutError):
        return SendReason.DEADLINE
    if isinstance(exc, OSError):
        return SendReason.BROKEN
    return SendReason.PROTOCOL


def _was_closed_while_idle(error: SendError) -> bool:
    broken = error.reason is SendReason.BROKEN and error.reused
    return broken and error.failure is SendFailure.NOT_SENT
