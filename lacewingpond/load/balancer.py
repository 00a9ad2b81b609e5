"""Plays the platform's balancer: asks each daemon whether it takes requests."""

import gevent
import urllib3

from lacewingpond.util.clock import Clock

CHECK_PERIOD_S = 0.1
CHECK_TIMEOUT_S = 0.5


class Balancer:
    """Sends requests only to daemons whose last check was good.

    Parameters
    ----------
    daemons : tuple of str
        ``host:port`` of all daemons.
    check_path : str
        Path of the check; without one every daemon counts as ready.
    clock : Clock
        Paces the checks.
    """

    __slots__ = ("_daemons", "_check_path", "_clock", "_ready", "_pool", "_greenlet")

    def __init__(self, daemons: tuple[str, ...], check_path: str, clock: Clock) -> None:
        self._daemons = daemons
        self._check_path = check_path
        self._clock = clock
        self._ready = dict.fromkeys(daemons, True)
        self._pool = urllib3.PoolManager(retries=False)
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to check."""
        if self._check_path:
            self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the checks."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    def route(self, wanted: str) -> str:
        """Return `wanted`, or the next daemon that is ready."""
        start = self._daemons.index(wanted)
        order = self._daemons[start:] + self._daemons[:start]
        return next((name for name in order if self._ready[name]), wanted)

    def other(self, than: str) -> str:
        """Return a ready daemon that is not `than`, if there is one."""
        start = self._daemons.index(than) + 1
        order = self._daemons[start:] + self._daemons[: start - 1]
        return next((name for name in order if self._ready[name]), than)

    def _run(self) -> None:
        while True:
            for name in self._daemons:
                self._ready[name] = self._check(name)
            self._clock.sleep(CHECK_PERIOD_S)

    def _check(self, daemon: str) -> bool:
        url = f"http://{daemon}{self._check_path}"
        try:
            answer = self._pool.request("GET", url, timeout=CHECK_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200
