"""The connections that this VM holds to one target."""

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
    """A bounded number of connections, the last used one first.

    Parameters
    ----------
    address : str
        ``host:port`` of the target.
    limit : int
        Connections held at once.
    options : TargetOptions
        Ages and timeouts.
    clock : Clock
        Measures ages.
    rng : random.Random
        Spreads the ages.
    """

    __slots__ = (
        "address",
        "limit",
        "suspected_at",
        "_options",
        "_clock",
        "_rng",
        "_idle",
        "_busy",
        "_opening",
        "_newest_opened_at",
        "_newest_heard_at",
        "_suspects",
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
        self.suspected_at = float("-inf")
        self._options = options
        self._clock = clock
        self._rng = rng
        self._idle: deque[TargetConnection] = deque()
        self._busy: set[TargetConnection] = set()
        self._opening = 0
        self._newest_opened_at = float("-inf")
        self._newest_heard_at = float("-inf")
        self._suspects = 0
        self._timeouts = TimeoutEpisode(options.timeout_episode_s)

    @property
    def size(self) -> int:
        """Connections held or being opened."""
        return len(self._idle) + len(self._busy) + self._opening

    @property
    def busy(self) -> int:
        """Connections that carry an exchange."""
        return len(self._busy)

    def take(
        self, fresh: bool, deadline: float, new: bool = False
    ) -> Result[TargetConnection, SendError]:
        """Return a connection for one exchange.

        Parameters
        ----------
        fresh : bool
            True for one that was used or opened just before.
        deadline : float
            When opening one ends, in monotonic seconds.
        new : bool
            True for one that was not used before.
        """
        conn = None if new else self._take_idle(fresh)
        if conn is not None:
            self._busy.add(conn)
            return Ok(conn)
        self._make_room()
        if self.size >= self.limit:
            return Err(_not_sent(SendReason.BUDGET, f"{self.limit} are in use"))
        return self._open(deadline)

    def release(self, conn: TargetConnection) -> None:
        """Take back a connection whose answer has come whole."""
        self._busy.discard(conn)
        expired = self._clock.now() >= conn.expires_at
        if expired or conn.condemned or not conn.reusable or not conn.is_clean():
            conn.close()
            return
        conn.last_heard_at = self._clock.now()
        self._idle.append(conn)

    def discard(self, conn: TargetConnection) -> None:
        """Close a connection whose exchange did not end well."""
        self._busy.discard(conn)
        conn.close()

    def sweep(self) -> None:
        """Close connections that were unused for too long."""
        oldest = self._clock.now() - self._options.max_idle_s
        while self._idle and self._idle[0].last_heard_at < oldest:
            self._idle.popleft().close()

    def close_idle(self) -> None:
        """Close all unused connections, and the others after their exchange."""
        while self._idle:
            self._idle.popleft().close()
        for conn in self._busy:
            conn.reusable = False

    def heard(self, conn: TargetConnection) -> int:
        """Take note of an answer's head.

        Returns
        -------
        int
            Earlier timeouts that were due to silent connections, as this answer on
            a newer connection shows.
        """
        now = self._clock.now()
        if conn.opened_at >= self._newest_opened_at:
            self._newest_opened_at = conn.opened_at
            self._newest_heard_at = now
        if conn.opened_at < self.suspected_at or not self._suspects:
            return 0
        if now - self.suspected_at > self._options.silent_window_s:
            self._suspects = 0
            return 0
        silent = self._suspects
        self._suspects = 0
        if self._timeouts.blames_target(now):
            return 0
        self._condemn(self.suspected_at)
        return silent

    def is_silent(self, conn: TargetConnection) -> bool:
        """Return whether a timeout on `conn` is due to the connection.

        That is so when a connection opened after `conn` was last heard has answered
        since the request was sent. Without that, unused connections as old as this
        one are closed, so that the next request opens a new one and shows it. When
        requests time out on new connections too, the target is to blame.
        """
        now = self._clock.now()
        self._timeouts.note(conn.opened_at, now)
        if self._timeouts.blames_target(now):
            return False
        newer = self._newest_opened_at > conn.last_heard_at
        if newer and self._newest_heard_at >= conn.sent_at:
            self._condemn(self._newest_opened_at)
            return True
        if conn.reused:
            self.suspected_at = now
            self._suspects += 1
            self._close_unheard(conn.sent_at)
        return False

    def _condemn(self, opened_before: float) -> None:
        self._close_unheard(opened_before)
        for conn in self._busy:
            if conn.last_heard_at < opened_before:
                conn.condemned = True

    def _close_unheard(self, since: float) -> None:
        for conn in tuple(self._idle):
            if conn.last_heard_at < since:
                self._idle.remove(conn)
                conn.close()

    def _take_idle(self, fresh: bool) -> TargetConnection | None:
        self.sweep()
        now = self._clock.now()
        while self._idle:
            conn = self._idle.pop()
            if fresh and now - conn.last_heard_at > self._options.fresh_s:
                # The others were used even earlier.
                self._idle.append(conn)
                return None
            if now < conn.expires_at and conn.is_clean():
                return conn
            conn.close()
        return None

    def _make_room(self) -> None:
        while self._idle and self.size >= self.limit:
            self._idle.popleft().close()

    def _open(self, deadline: float) -> Result[TargetConnection, SendError]:
        now = self._clock.now()
        timeout_s = min(self._options.connect_timeout_s, deadline - now)
        if timeout_s <= 0:
            return Err(_not_sent(SendReason.DEADLINE, "no time to connect"))
        host, _, port = self.address.rpartition(":")
        if not host or not port.isdecimal():
            return Err(_not_sent(SendReason.CONNECT, f"bad address {self.address}"))
        age_s = self._options.max_age_s * self._age_factor()
        conn = TargetConnection(
            host.strip("[]"), int(port), self._options, self._clock, now + age_s
        )
        self._opening += 1
        try:
            conn.open(timeout_s)
        except Exception as exc:
            conn.close()
            return Err(_not_sent(SendReason.CONNECT, str(exc)))
        finally:
            self._opening -= 1
        self._busy.add(conn)
        return Ok(conn)

    def _age_factor(self) -> float:
        jitter = self._options.age_jitter
        return 1.0 + self._rng.uniform(-jitter, jitter)


class PoolTable:
    """The pools of all targets in use, by address.

    Parameters
    ----------
    make : callable
        Builds the pool of an address.
    """

    __slots__ = ("_pools", "_make")

    def __init__(self, make: Callable[[str], ConnectionPool]) -> None:
        self._pools: dict[str, ConnectionPool] = {}
        self._make = make

    def get(self, address: str) -> ConnectionPool:
        """Return the pool of `address`, building it when there is none."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = self._make(address)
        return pool

    def sweep(self) -> None:
        """Close what was unused for too long, and forget empty pools."""
        for address, pool in tuple(self._pools.items()):
            pool.sweep()
            if pool.size == 0:
                del self._pools[address]

    def close(self) -> None:
        """Close all unused connections."""
        for pool in self._pools.values():
            pool.close_idle()

    def __iter__(self):
        return iter(self._pools.values())

    def __len__(self) -> int:
        return len(self._pools)


def _not_sent(reason: SendReason, detail: str) -> SendError:
    return SendError(SendFailure.NOT_SENT, reason, detail)
