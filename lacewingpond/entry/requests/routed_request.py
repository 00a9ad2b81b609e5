"""One request on its way to a target."""

from collections.abc import Callable

from lacewingpond.entry.model.route import EntryRoute
from lacewingpond.http.headers import Headers
from lacewingpond.proxy.job_body import JobBody
from lacewingpond.targets.request import TargetRequest


class Task:
    """What a target is to do, and within which bounds.

    Attributes
    ----------
    request_id : str
        The client's id of this attempt.
    route : EntryRoute
        The route.
    service : str
        The part of the route's split that was drawn.
    workspace : str
        Whose request it is; empty on a public route.
    method, path, headers, body
        As they go to the target, apart from fields that differ by attempt.
    deadline : float
        When the answer is due, in monotonic seconds.
    fingerprint : str
        Names the request and its repeats; empty when its body passes through.
    is_disconnected : callable
        Whether the client has gone.
    may_send : callable
        Asked just before the first byte leaves.
    """

    __slots__ = ("request_id", "route", "service", "workspace", "method", "path")
    __slots__ += ("headers", "body", "deadline", "is_disconnected", "may_send")
    __slots__ += ("fingerprint",)

    def __init__(
        self,
        request_id: str,
        route: EntryRoute,
        service: str,
        workspace: str,
        method: str,
        path: str,
        headers: Headers,
        body: JobBody,
        deadline: float,
        fingerprint: str,
        is_disconnected: Callable[[], bool],
        may_send: Callable[[], bool],
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
        self.may_send = may_send

    def attempt(self, expected_header: str, target_id: str) -> TargetRequest:
        """Return the request for one target."""
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
