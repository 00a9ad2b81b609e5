"""A stand-in for the platform's load balancer, with readiness checks."""

import gevent
import urllib3

from lacewingpond.util.clock import Clock

CHECK_INTERVAL_S = 0.1
CHECK_TIMEOUT_S = 0.5


class Balancer:
    """Selects daemons whose last readiness check succeeded.

    Parameters
    ----------
    daemons : tuple of str
        ``host:port`` of all daemons.
    check_path : str
        Path of the readiness check; if empty, every daemon counts as ready.
    clock : Clock
        Clock for the interval between checks.
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
        """Start the readiness checks, if there is a path for them."""
        if self._check_path:
            self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the readiness checks."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    def route(self, preferred: str) -> str:
        """Return the first ready daemon from `preferred` on.

        The list is searched cyclically; `preferred` is returned if none is ready.
        """
        start = self._daemons.index(preferred)
        order = self._daemons[start:] + self._daemons[:start]
        return next((name for name in order if self._ready[name]), preferred)

    def route_elsewhere(self, excluded: str) -> str:
        """Return a ready daemon other than `excluded`; `excluded` if there is none."""
        start = self._daemons.index(excluded) + 1
        order = self._daemons[start:] + self._daemons[: start - 1]
        return next((name for name in order if self._ready[name]), excluded)

    def _run(self) -> None:
        while True:
            for name in self._daemons:
                self._ready[name] = self._check(name)
            self._clock.sleep(CHECK_INTERVAL_S)

    def _check(self, daemon: str) -> bool:
        url = f"http://{daemon}{self._check_path}"
        try:
            response = self._pool.request("GET", url, timeout=CHECK_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200
