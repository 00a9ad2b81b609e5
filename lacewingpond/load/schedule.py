"""The schedule of a load run, which is fixed before the run starts."""

import random
from collections.abc import Iterator

from msgspec import Struct

from lacewingpond.load.plan import LoadPlan, RequestKind, WorkspaceLoad


class ScheduledRequest(Struct, frozen=True):
    """One scheduled request.

    Parameters
    ----------
    at : float
        Time at which it is due, in seconds after the start of the run.
    number : int
        Number that is unique in the run, for the request id.
    workspace : WorkspaceLoad
        Workspace of its caller.
    kind : RequestKind
        What to send.
    daemon : str
        ``host:port`` of the daemon that gets it, if it is ready.
    repeats : bool
        Whether it is sent again with the same key after the response.
    abandons : bool
        Whether the caller disconnects before the response and sends it again.
    """

    at: float
    number: int
    workspace: WorkspaceLoad
    kind: RequestKind
    daemon: str
    repeats: bool
    abandons: bool


def schedule(plan: LoadPlan) -> list[ScheduledRequest]:
    """Return the requests of `plan` by time, without those of held sessions."""
    rng = random.Random(plan.seed)
    due = [
        (at, workspace)
        for workspace in plan.workspaces
        for at in _due_times(plan, workspace, rng)
    ]
    due.sort(key=lambda entry: entry[0])
    return [
        _build_request(number, at, workspace, plan, rng)
        for number, (at, workspace) in enumerate(due[: plan.max_requests])
    ]


def _due_times(
    plan: LoadPlan, workspace: WorkspaceLoad, rng: random.Random
) -> Iterator[float]:
    at = rng.expovariate(workspace.rate) if workspace.rate > 0 else plan.duration_s
    while at < plan.duration_s:
        yield at
        at += rng.expovariate(workspace.rate)
    if workspace.burst_every_s > 0:
        at = workspace.burst_every_s
        while at < plan.duration_s:
            yield from [at] * workspace.burst_size
            at += workspace.burst_every_s


def _build_request(
    number: int, at: float, workspace: WorkspaceLoad, plan: LoadPlan, rng: random.Random
) -> ScheduledRequest:
    weights = [kind.weight for kind in workspace.requests]
    kind = rng.choices(workspace.requests, weights)[0]
    has_key = kind.idempotency_key
    return ScheduledRequest(
        at=at,
        number=number,
        workspace=workspace,
        kind=kind,
        daemon=rng.choice(plan.daemons),
        repeats=has_key and rng.random() < kind.repeat_share,
        abandons=has_key and rng.random() < kind.abandon_share,
    )
