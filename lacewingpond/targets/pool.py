"""Pools of connections, one pool for each target address."""

import math
import random
from collections import deque
from collections.abc import Callable

from result import Err, Ok, Result

from lacewingpond.targets.connection import TargetConnection
from lacewingpond.targets.errors import SendError, SendFailure, SendReason
from lacewingpond.targets.options import TargetOptions
from lacewingpond.targets.timeouts import TimeoutEpisode
from lacewingpond.util.clock import Clock


class ConnectionPool:
    """A bounded pool of connections to one target.

    The connection used last is reused first, so that surplus ones become idle.

    Parameters
    ----------
    address : str
        ``host:port`` of the target.
    limit : int
        Largest number of connections at once.
    options : TargetOptions
        Ages and timeouts.
    clock : Clock
        Time source.
    rng : random.Random
        Randomises the ages at which connections are replaced.

    Attributes
    ----------
    suspect_timeout_at : float
        Time of the last timeout whose cause, target or connection, is not known yet.
    """

    __slots__ = (
        "address",
        "limit",
        "suspect_timeout_at",
        "_options",
        "_clock",
        "_rng",
        "_idle",
        "_busy",
        "_opening",
        "_newest_opened_at",
        "_newest_response_at",
        "_suspect_timeouts",
        "_timeouts",
    )

    def __init__(
        self,
        address: str,
        limit: int,
        options: TargetOptions,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.address = address
        self.limit = limit
        self.suspect_timeout_at = float("-inf")
        self._options = options
        self._clock = clock
        self._rng = rng
        self._idle: deque[TargetConnection] = deque()
        self._busy: set[TargetConnection] = set()
        self._opening = 0
        self._newest_opened_at = float("-inf")
        self._newest_response_at = float("-inf")
        self._suspect_timeouts = 0
        self._timeouts = TimeoutEpisode(options.timeout_episode_s)

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._idle) + len(self._busy) + self._opening

    @property
    def busy(self) -> int:
        """Number of connections that carry an exchange."""
        return len(self._busy)

    @property
    def idle(self) -> int:
        """Number of connections that carry no exchange."""
        return len(self._idle)

    def acquire(
        self, fresh: bool, deadline: float, new: bool = False
    ) -> Result[TargetConnection, SendError]:
        """Return an idle connection for one exchange, or open one.

        It never waits for a busy connection: at the limit it fails at once.

        Parameters
        ----------
        fresh : bool
            Whether the connection must have been active within `fresh_s`.
        deadline : float
            Time limit for opening a connection, in monotonic seconds.
        new : bool
            Whether to open a new connection in any case.

        Returns
        -------
        Result of TargetConnection, SendError
            The error's reason is `CONNECTION_LIMIT`, `CONNECT` or `DEADLINE`.
        """
        conn = None if new else self._take_idle(fresh)
        if conn is not None:
            self._busy.add(conn)
            return Ok(conn)
        self._evict_idle()
        if self.size >= self.limit:
            return Err(
                _not_sent(
                    SendReason.CONNECTION_LIMIT,
                    f"all {self.limit} connections to the target are in use",
                )
            )
        return self._open(deadline)

    def release(self, conn: TargetConnection) -> None:
        """Return a connection to the pool after a complete response, or close it.

        It is closed when it has expired, is marked silent, must not be reused or has
        unread bytes.
        """
        self._busy.discard(conn)
        is_expired = self._clock.now() >= conn.expires_at
        if is_expired or conn.marked_silent or not conn.reusable or not conn.is_clean():
            conn.close()
            return
        conn.last_active_at = self._clock.now()
        self._idle.append(conn)

    def discard(self, conn: TargetConnection) -> None:
        """Close a connection whose exchange failed or was given up."""
        self._busy.discard(conn)
        conn.close()

    def sweep(self) -> None:
        """Close connections that have been idle longer than `max_idle_s`."""
        min_active_at = self._clock.now() - self._options.max_idle_s
        while self._idle and self._idle[0].last_active_at < min_active_at:
            self._idle.popleft().close()

    def close_idle(self) -> None:
        """Close all idle connections; the others are closed after their exchange."""
        while self._idle:
            self._idle.popleft().close()
        for conn in self._busy:
            conn.reusable = False

    def note_response(self, conn: TargetConnection) -> int:
        """Record that the headers of a response have arrived.

        If they show that older connections are silent, the idle ones among these are
        closed and the others marked.

        Returns
        -------
        int
            Number of earlier timeouts that were due to silent connections, as this
            response on a newer connection shows.
        """
        now = self._clock.now()
        if conn.opened_at >= self._newest_opened_at:
            self._newest_opened_at = conn.opened_at
            self._newest_response_at = now
        if conn.opened_at < self.suspect_timeout_at or not self._suspect_timeouts:
            return 0
        if now - self.suspect_timeout_at > self._options.silent_window_s:
            self._suspect_timeouts = 0
            return 0
        silent_timeouts = self._suspect_timeouts
        self._suspect_timeouts = 0
        if self._timeouts.indicates_target_fault(now):
            return 0
        self._mark_silent(self.suspect_timeout_at)
        return silent_timeouts

    def note_timeout(self, conn: TargetConnection) -> bool:
        """Record a timeout, and return whether the connection itself was silent.

        It was if a connection opened after `conn` was last active has got a response
        since the request was sent; other silent connections are then closed if idle,
        else marked. If none has, idle connections that were last
        active before that are closed, so that the next request opens a new one and
        shows the cause. If requests time out on new connections too, the target is
        at fault.
        """
        now = self._clock.now()
        self._timeouts.record_timeout(conn.opened_at, now)
        if self._timeouts.indicates_target_fault(now):
            return False
        newer = self._newest_opened_at > conn.last_active_at
        if newer and self._newest_response_at >= conn.sent_at:
            self._mark_silent(self._newest_opened_at)
            return True
        if conn.reused:
            self.suspect_timeout_at = now
            self._suspect_timeouts += 1
            self._close_inactive(conn.sent_at)
        return False

    def mark_silent(self) -> None:
        """Close the idle connections and mark the others as silent."""
        self._mark_silent(math.inf)

    def _mark_silent(self, opened_before: float) -> None:
        self._close_inactive(opened_before)
        for conn in self._busy:
            if conn.last_active_at < opened_before:
                conn.marked_silent = True

    def _close_inactive(self, since: float) -> None:
        for conn in tuple(self._idle):
            if conn.last_active_at < since:
                self._idle.remove(conn)
                conn.close()

    def _take_idle(self, fresh: bool) -> TargetConnection | None:
        self.sweep()
        now = self._clock.now()
        while self._idle:
            conn = self._idle.pop()
            if fresh and now - conn.last_active_at > self._options.fresh_s:
                # The other idle connections were used earlier still.
                self._idle.append(conn)
                return None
            if conn.may_be_reused(now) and conn.is_clean():
                return conn
            conn.close()
        return None

    def _evict_idle(self) -> None:
        while self._idle and self.size >= self.limit:
            self._idle.popleft().close()

    def _open(self, deadline: float) -> Result[TargetConnection, SendError]:
        now = self._clock.now()
        timeout_s = min(self._options.connect_timeout_s, deadline - now)
        if timeout_s <= 0:
            return Err(_not_sent(SendReason.DEADLINE, "no time left to connect"))
        host, _, port = self.address.rpartition(":")
        if not host or not port.isdecimal():
            return Err(
                _not_sent(SendReason.CONNECT, f"invalid target address {self.address}")
            )
        age_s = self._options.max_age_s * self._jitter_factor()
        conn = TargetConnection(
            host.strip("[]"), int(port), self._options, self._clock, now + age_s
        )
        self._opening += 1
        try:
            conn.open(timeout_s)
        except Exception as exc:
            conn.close()
            return Err(_not_sent(SendReason.CONNECT, str(exc)))
        except BaseException:
            conn.close()
            raise
        finally:
            self._opening -= 1
        self._busy.add(conn)
        return Ok(conn)

    def _jitter_factor(self) -> float:
        jitter = self._options.age_jitter
        return 1.0 + self._rng.uniform(-jitter, jitter)


class PoolTable:
    """The pools of all targets in use, by address.

    Parameters
    ----------
    build : callable
        Returns a new pool for an address.
    """

    __slots__ = ("_pools", "_build")

    def __init__(self, build: Callable[[str], ConnectionPool]) -> None:
        self._pools: dict[str, ConnectionPool] = {}
        self._build = build

    def get(self, address: str) -> ConnectionPool:
        """Return the pool of `address`; builds it if there is none."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = self._build(address)
        return pool

    def sweep(self) -> None:
        """Close connections that were idle too long, and remove empty pools."""
        for address, pool in tuple(self._pools.items()):
            pool.sweep()
            if pool.size == 0:
                del self._pools[address]

    def close(self) -> None:
        """Close all idle connections; the others are closed after their exchange."""
        for pool in self._pools.values():
            pool.close_idle()

    def __iter__(self):
        return iter(self._pools.values())

    def __len__(self) -> int:
        return len(self._pools)


def _not_sent(reason: SendReason, detail: str) -> SendError:
    return SendError(SendFailure.NOT_SENT, reason, detail)
