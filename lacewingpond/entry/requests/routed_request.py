"""A caller's request with its route, as the entry daemon sends it to targets.

`lacewingpond.proxy.routed_request` has that of the standalone daemon.
"""

from collections.abc import Callable

from lacewingpond.entry.model.config_position import ConfigPosition
from lacewingpond.entry.model.route import EntryRoute
from lacewingpond.http.headers import Headers
from lacewingpond.proxy.outgoing_body import OutgoingBody
from lacewingpond.targets.request import TargetRequest


class EntryRequest:
    """A request with its route, deadline and the data to send.

    Attributes
    ----------
    request_id : str
        Id that the caller gave to this attempt.
    route : EntryRoute
        The matched route.
    service : str
        The service that was drawn from the traffic split of the route.
    workspace : str
        Name of the workspace of the caller; empty if no key is needed.
    method, path : str
        Method, and path with query.
    headers : Headers
        Headers for every target; `for_target` adds those of one target.
    body : OutgoingBody
        The body.
    deadline : float
        Time at which the response is due, in monotonic seconds.
    fingerprint : str
        Identifies the request and its repeats; empty if the body is streamed.
    is_disconnected : callable
        Returns whether the caller has disconnected.
    may_have_run : bool
        Whether a byte of it was sent to a target or to another VM.
    received_at : float
        Time at which its headers had arrived, in monotonic seconds.
    targets : set of str
        Ids of the targets that it is being sent to.
    caller_headers : Headers
        Headers as the caller sent them, with the key; for another VM only.
    is_relayed : bool
        Whether another VM has relayed it to this one.
    attempts_elsewhere : int
        Attempts that the relaying VM has made.
    config : ConfigPosition
        The configuration by which it was routed.
    excluded : frozenset of str
        Ids of targets that accept no new requests, as the relaying VM knows.
    evacuated : frozenset of str
        Evacuated failure domains, as the relaying VM knows.
    priority : int
        Priority class, that of the workspace before that of the route; 0 is the
        highest.
    is_refused : callable
        Returns whether the server refuses requests by now, as it stops.
    """

    __slots__ = ("request_id", "route", "service", "workspace", "method", "path")
    __slots__ += ("headers", "body", "deadline", "is_disconnected")
    __slots__ += ("fingerprint", "received_at", "targets", "caller_headers")
    __slots__ += ("is_relayed", "attempts_elsewhere", "config", "excluded")
    __slots__ += ("evacuated", "priority", "is_refused")
    __slots__ += ("may_have_run", "_may_send")

    def __init__(
        self,
        request_id: str,
        route: EntryRoute,
        service: str,
        workspace: str,
        method: str,
        path: str,
        headers: Headers,
        body: OutgoingBody,
        deadline: float,
        fingerprint: str,
        is_disconnected: Callable[[], bool],
        may_send: Callable[[], bool],
        received_at: float,
        caller_headers: Headers,
        config: ConfigPosition,
        is_relayed: bool = False,
        attempts_elsewhere: int = 0,
        excluded: frozenset[str] = frozenset(),
        priority: int | None = None,
        evacuated: frozenset[str] = frozenset(),
        is_refused: Callable[[], bool] = bool,
    ) -> None:
        self.request_id = request_id
        self.route = route
        self.service = service
        self.workspace = workspace
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.deadline = deadline
        self.fingerprint = fingerprint
        self.is_disconnected = is_disconnected
        self.may_have_run = False
        self._may_send = may_send
        self.received_at = received_at
        self.targets: set[str] = set()
        self.caller_headers = caller_headers
        self.is_relayed = is_relayed
        self.attempts_elsewhere = attempts_elsewhere
        self.config = config
        self.excluded = excluded
        self.evacuated = evacuated
        self.priority = route.priority if priority is None else priority
        self.is_refused = is_refused

    def may_send(self) -> bool:
        """Return whether it may be sent; called just before the first byte is."""
        allowed = self._may_send()
        self.may_have_run |= allowed
        return allowed

    def for_target(self, expected_header: str, target_id: str) -> TargetRequest:
        """Return the request to send to one target.

        Parameters
        ----------
        expected_header : str
            Name of the header that holds the target's id.
        target_id : str
            Id of the target.
        """
        headers = self.headers.copy()
        headers.set(expected_header, target_id)
        return TargetRequest(
            method=self.method,
            path=self.path,
            headers=headers,
            body=self.body.open(),
            content_length=self.body.content_length,
            idempotent=self.route.idempotent,
            is_disconnected=self.is_disconnected,
            may_send=self.may_send,
        )
