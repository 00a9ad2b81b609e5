"""What the VM that takes a request decides for the VM that delivers it."""

import base64
import binascii
from collections.abc import Callable, Iterable

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.entry.freshness import Freshness
from lacewingpond.entry.model.config_position import ConfigPosition
from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.entry.model.route import EntryRoute, WeightedService
from lacewingpond.entry.requests.routed_request import EntryRequest
from lacewingpond.entry.targets.statements import TargetStatements
from lacewingpond.entry.targets.table import TargetTable

DECISION_HEADER = "Lacewingpond-Relay-Decision"
CONFIG_HEADER = "Lacewingpond-Relay-Config"
"""Position of the configuration of the VM that responds."""
MAX_LEAVING = 32  # keeps the header below the limits of servers


class RelayDecision(Struct, frozen=True, omit_defaults=True):
    """How a request is handled, by the configuration of the VM that took it.

    The VM that delivers it neither routes the request nor checks its key by an older
    configuration.

    Parameters
    ----------
    vm_id : str
        The VM that decided.
    config : ConfigPosition
        The configuration by which it decided.
    route : str
        Name of the route.
    service : str
        Service that was drawn.
    idempotent : bool
        Whether the request may run more than once.
    priority : int
        Priority class of the request; 0 is the highest.
    target_latency_s : float
        Latency objective, in seconds.
    max_attempts : int
        Number of targets that the request may be sent to, on all VMs.
    workspace : str
        Workspace of the key; empty if no key is needed.
    valid_s : float or None
        For how long the check of the key holds, in seconds; None without an end.
    leaving : tuple of (str, int)
        Id and incarnation of targets of the service that accept no new requests.
    evacuated : tuple of str
        Failure domains whose targets must get no requests.
    """

    vm_id: str
    config: ConfigPosition
    route: str
    service: str
    idempotent: bool = False
    priority: int = 0
    target_latency_s: float = 2.0
    max_attempts: int = 1
    workspace: str = ""
    valid_s: float | None = None
    leaving: tuple[tuple[str, int], ...] = ()
    evacuated: tuple[str, ...] = ()

    def entry_route(self, host: str) -> EntryRoute:
        """Return the route of the request; its time-out is part of the deadline."""
        return EntryRoute(
            name=self.route,
            host=host,
            prefix="/",
            split=(WeightedService(self.service, 1.0),),
            idempotent=self.idempotent,
            public=not self.workspace,
            priority=self.priority,
            target_latency_s=self.target_latency_s,
            max_attempts=self.max_attempts,
        )

    def excludes(self, target: EntryTarget) -> bool:
        """Return whether a target must get no requests, as the deciding VM knows."""
        if target.failure_domain in self.evacuated:
            return True
        return any(
            target.target_id == target_id and target.incarnation <= incarnation
            for target_id, incarnation in self.leaving
        )

    def excluded(self, targets: Iterable[EntryTarget]) -> frozenset[str]:
        """Return the ids of those among `targets` that `excludes` is true for."""
        return frozenset(t.target_id for t in targets if self.excludes(t))

    def encode(self) -> str:
        """Return the value of the header."""
        return base64.b64encode(msgspec.msgpack.encode(self)).decode("ascii")


_decode = msgspec.msgpack.Decoder(RelayDecision).decode


def parse_decision(value: str | None) -> Result[RelayDecision | None, str]:
    """Return the decision in a header, None without one, or why it is invalid."""
    if value is None:
        return Ok(None)
    try:
        return Ok(_decode(base64.b64decode(value, validate=True)))
    except (binascii.Error, ValueError, msgspec.MsgspecError) as exc:
        return Err(str(exc))


def decider(
    vm_id: str, table: TargetTable, freshness: Freshness, statements: TargetStatements
) -> Callable[[EntryRequest], RelayDecision]:
    """Return a function that states how this VM has decided on a request."""

    def decide(request: EntryRequest) -> RelayDecision:
        route = request.route
        service = request.service
        leaving = [
            s.spec for s in table.ready(service) if statements.is_leaving(s.spec)
        ]
        leaving += [state.spec for state in table.draining(service)]
        left_s = freshness.max_age_s - freshness.age_s
        is_bounded = bool(request.workspace) and left_s != float("inf")
        return RelayDecision(
            vm_id,
            request.config,
            route.name,
            request.service,
            route.idempotent,
            request.priority,
            route.target_latency_s,
            route.max_attempts,
            request.workspace,
            left_s if is_bounded else None,
            tuple((t.target_id, t.incarnation) for t in leaving[:MAX_LEAVING]),
            tuple(sorted(table.evacuations.domains)),
        )

    return decide
