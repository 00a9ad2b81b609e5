"""Servers of the latency benchmark: a target and two proxies in front of it."""

import random
from collections.abc import Callable

from lacewingpond.config.intents import GrantKey, PutRoute, PutService, PutWorkspace
from lacewingpond.config.keys import key_digest
from lacewingpond.config.model import Key, Route, Service, Target, Workspace
from lacewingpond.demo.fleet import LocalFleet
from lacewingpond.http.options import HttpOptions
from lacewingpond.http.refusal import refusal_response
from lacewingpond.http.request import Request
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState
from lacewingpond.http.server import CallerServer
from lacewingpond.targets.client import TargetClient
from lacewingpond.targets.options import TargetOptions
from lacewingpond.targets.request import TargetRequest
from lacewingpond.telemetry.null_decisions import NullDecisionLog
from lacewingpond.util.clock import RuntimeClock

RESPONSE_BYTES = 1_024
DEADLINE_S = 10.0
START_TIMEOUT_S = 20.0
TARGET_CONNECTIONS = 512
RATE_PER_S = 100_000.0
API_KEY = "key-of-the-benchmark"
REQUEST = (
    f"GET /plans/7 HTTP/1.1\r\nHost: bench\r\nX-Api-Key: {API_KEY}\r\n\r\n".encode()
)


class LatencyServers:
    """A target and two proxies in front of it, all in this process.

    Parameters
    ----------
    rng : random.Random
        Source of the daemon's seed and of the client's random choices.

    Attributes
    ----------
    target : CallerServer
        Target that responds at once.
    sides : CallerServer
        Proxy of only the two network sides: a server for callers that forwards each
        request with a `TargetClient`.
    daemon_port : int
        Port of a complete daemon, with keys, rates, queue, placement and health.

    Raises
    ------
    RuntimeError
        If the daemon is not ready in `START_TIMEOUT_S`.
    """

    __slots__ = ("target", "sides", "daemon_port", "_client", "_fleet")

    def __init__(self, rng: random.Random) -> None:
        clock, log = RuntimeClock(), NullDecisionLog()
        self.target = CallerServer.from_options(HttpOptions(), _respond, log, clock)
        self.target.start()
        options = TargetOptions(connections_per_target=TARGET_CONNECTIONS)
        self._client = TargetClient.from_options(options, clock, rng, log)
        target = Target("t", f"127.0.0.1:{self.target.port}", slots=TARGET_CONNECTIONS)
        handler = _forwarding_handler(self._client, target, clock)
        self.sides = CallerServer.from_options(HttpOptions(), handler, log, clock)
        self.sides.start()
        self._fleet = LocalFleet(clock, rng.randrange(1 << 32))
        daemon = self._fleet.add_daemon("vm-1")
        self._configure(target)
        self.daemon_port = daemon.traffic.server.port

    def stop(self) -> None:
        """Stop all servers and close the client's connections."""
        self._fleet.stop()
        self.sides.stop()
        self._client.close()
        self.target.stop()

    def _configure(self, target: Target) -> None:
        owns_all = self._fleet.owns_all_shards
        if self._fleet.wait_until(owns_all, START_TIMEOUT_S) is None:
            raise RuntimeError("the daemon did not start in time")
        service = Service("plans", (target,), connections_per_target=TARGET_CONNECTIONS)
        revision = self._fleet.apply_intents(
            "vm-1",
            PutWorkspace(Workspace("bench", RATE_PER_S, RATE_PER_S)),
            GrantKey(Key("k1", "bench", key_digest(API_KEY))),
            PutService(service),
            PutRoute(Route("plans", "plans", "/plans")),
        )
        holder = self._fleet.daemons["vm-1"].fleet.holder
        applied = self._fleet.wait_until(
            lambda: holder.revision >= revision, START_TIMEOUT_S
        )
        if applied is None:
            raise RuntimeError("the daemon did not apply its configuration in time")


def _respond(req: Request) -> Response:
    del req
    return Response(200, body=b"x" * RESPONSE_BYTES)


def _forwarding_handler(
    client: TargetClient, target: Target, clock: RuntimeClock
) -> Callable[[Request], Response]:
    def handler(req: Request) -> Response:
        target_request = TargetRequest.from_request(req, idempotent=True)
        result = client.send(target, target_request, clock.now() + DEADLINE_S)
        if result.is_err():
            error = result.err()
            return refusal_response(
                502, RunState.UNKNOWN, error.reason.value, error.detail
            )
        response = result.ok()
        return Response(response.status, response.headers, response, response.reason)

    return handler
