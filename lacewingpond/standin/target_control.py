"""Control paths of a stand-in target."""

from collections.abc import Callable

import bottle
import msgspec

from lacewingpond.standin.options import StandinTargetOptions
from lacewingpond.standin.target_faults import TargetFaults
from lacewingpond.standin.target_stats import TargetStats
from lacewingpond.standin.target_work import TargetWork
from lacewingpond.util.clock import Clock


class TargetControl:
    """Serves health checks, load and counts, changes faults and cancels requests.

    Parameters
    ----------
    faults : TargetFaults
        Faults of the target.
    work : TargetWork
        Requests in progress.
    stats : TargetStats
        Counts of the target.
    clock : Clock
        Source of time for slow health checks.
    configure : callable
        Applies new options.
    crash : callable
        Makes the target crash.
    """

    __slots__ = ("_faults", "_work", "_stats", "_clock", "_configure", "_crash")

    def __init__(
        self,
        faults: TargetFaults,
        work: TargetWork,
        stats: TargetStats,
        clock: Clock,
        configure: Callable[[StandinTargetOptions], None],
        crash: Callable[[], None],
    ) -> None:
        self._faults = faults
        self._work = work
        self._stats = stats
        self._clock = clock
        self._configure = configure
        self._crash = crash

    def add_routes(self, app: bottle.Bottle) -> None:
        """Add the control paths to `app`."""
        app.route("/_probe", "GET", self._probe)
        app.route("/_load", "GET", self._report_load)
        app.route("/_stats", "GET", self._report_stats)
        app.route("/_control", ["GET", "POST"], self._control)
        app.route("/_control/silence", "POST", self._control_silence)
        app.route("/_control/crash", "POST", self._control_crash)
        app.route("/_cancel/<request_id>", "POST", self._cancel)

    def _probe(self) -> str:
        self._faults.hang_if_silent()
        self._stats.probes += 1
        self._clock.sleep(self._faults.options.probe_s)
        options = self._faults.options
        says = options.probe_says
        is_unhealthy = says == "sick" or (says == "truth" and self._faults.is_gray())
        bottle.response.status = 503 if is_unhealthy or options.draining else 200
        return "sick" if is_unhealthy else "draining" if options.draining else "well"

    def _report_load(self) -> dict[str, float]:
        self._faults.hang_if_silent()
        return {"load": self._work.load()}

    def _report_stats(self) -> bytes:
        bottle.response.content_type = "application/json"
        return msgspec.json.encode(self._stats.report())

    def _control(self) -> bytes:
        body = bottle.request.body.read()
        if bottle.request.method == "POST":
            try:
                self._configure(msgspec.json.decode(body, type=StandinTargetOptions))
            except msgspec.DecodeError as exc:
                raise bottle.HTTPResponse(str(exc), 400) from None
        bottle.response.content_type = "application/json"
        return msgspec.json.encode(self._faults.options)

    def _control_silence(self) -> bytes:
        self._faults.silence_connections()
        return b""

    def _control_crash(self) -> bytes:
        self._crash()
        return b""

    def _cancel(self, request_id: str) -> bytes:
        if not self._work.cancel(request_id):
            raise bottle.HTTPResponse("no such request is in progress", 404)
        return b""
