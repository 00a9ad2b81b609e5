"""A service with a given number of slots, on which requests take a given time."""

import random
from collections import Counter

import gevent
from entry_helper import config, route, workspace

from lacewingpond.entry.admission.options import AdmissionOptions
from lacewingpond.entry.admission.queue_admission import QueueAdmission
from lacewingpond.entry.model.config_position import ConfigPosition
from lacewingpond.entry.requests.routed_request import EntryRequest
from lacewingpond.http.headers import Headers
from lacewingpond.proxy.buffered_body import BufferedBody
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog

SLOTS = 10
SERVICE_S = 0.5
CLASSES = (0, 1, 2)


class MemoryService:
    """One service and the admission to it on one VM of a fleet.

    Parameters
    ----------
    workspaces : dict of str to float
        Names and rates of the workspaces.

    Attributes
    ----------
    in_flight : int
        Requests that run.
    events : list of tuple
        Time, event (``arrived``, ``admitted``, ``refused``), request and load.
    reported : bool
        Whether load reports arrive.
    """

    def __init__(self, clock, classes=CLASSES, workspaces=None, size=1, **options):
        self.clock = clock
        self.in_flight = 0
        self.reported = True
        self.size = size
        self.events = []
        self.log = RecordingDecisionLog()
        self.admission = QueueAdmission(
            AdmissionOptions(enabled=True, **options),
            self,
            clock,
            random.Random(1),
            self.log,
        )
        routes = tuple(
            route(name=f"r{p}", priority=p, prefix=f"/{p}/") for p in classes
        )
        known = tuple(
            workspace(rate, rate, name, (name,))
            for name, rate in (workspaces or {}).items()
        )
        self.routes = {each.priority: each for each in routes}
        self.admission.configure(config(1, routes, known or None))
        self._sweeper = gevent.spawn(self.admission.run)
        self._callers = []

    def load(self, service):
        return self.in_flight / SLOTS if self.reported else 0.0

    def slots(self, service):
        return SLOTS

    def usual_s(self, route):
        return SERVICE_S

    def fleet_size(self):
        return self.size

    def request(self, priority=0, name="acme", timeout_s=5.0, gone=None, **fields):
        now = self.clock.now()
        return EntryRequest(
            request_id=f"{name}-{len(self.events)}",
            route=self.routes[priority],
            service="svc",
            workspace=name,
            method="POST",
            path="/",
            headers=Headers(()),
            body=BufferedBody(b""),
            deadline=now + timeout_s,
            fingerprint="",
            is_disconnected=gone or (lambda: False),
            may_send=lambda: True,
            received_at=now,
            caller_headers=Headers(()),
            config=ConfigPosition(1),
            priority=priority,
            **fields,
        )

    def send(self, request):
        """Start a caller's request, and return the greenlet that returns its refusal.

        The request runs for `SERVICE_S` once it is admitted.
        """
        self._record("arrived", request)
        caller = gevent.spawn(self._handle, request)
        self._callers.append(caller)
        gevent.sleep(0)
        return caller

    def fill(self, load):
        """Start requests that do not end, up to a load."""
        self.in_flight = round(load * SLOTS)

    def served(self):
        """Return the share of its requests that each workspace got served."""
        arrived, admitted = self.count("arrived"), self.count("admitted")
        return {name: admitted[name] / arrived[name] for name in arrived}

    def count(self, event):
        return Counter(r.workspace for _, what, r, _ in self.events if what == event)

    def close(self):
        gevent.killall([self._sweeper, *self._callers])

    def _handle(self, request):
        refusal = self.admission.admit(request)
        if refusal is not None:
            self._record("refused", request)
            return refusal
        self._record("admitted", request)
        self.in_flight += 1
        try:
            self.clock.sleep(SERVICE_S)
        finally:
            self.in_flight -= 1
        return None

    def _record(self, what, request):
        line = self.admission._lines.get("svc")
        # With the requests that are admitted and about to run.
        load = self.in_flight / SLOTS if line is None else line.load()
        self.events.append((self.clock.now(), what, request, load))
