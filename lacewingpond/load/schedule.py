"""When each request is due, fixed before the run starts."""

import random
from collections.abc import Iterator

from msgspec import Struct

from lacewingpond.load.plan import LoadPlan, RequestKind, WorkspaceLoad


class Arrival(Struct, frozen=True):
    """A request that is due `at` seconds after the start."""

    at: float
    number: int
    workspace: WorkspaceLoad
    kind: RequestKind
    daemon: str
    repeats: bool
    abandons: bool


def schedule(plan: LoadPlan) -> list[Arrival]:
    """Return all arrivals of `plan` in order of time."""
    rng = random.Random(plan.seed)
    due = [
        (at, workspace)
        for workspace in plan.workspaces
        for at in _times(plan, workspace, rng)
    ]
    due.sort(key=lambda entry: entry[0])
    return [
        _arrival(number, at, workspace, plan, rng)
        for number, (at, workspace) in enumerate(due[: plan.max_requests])
    ]


def _times(
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


def _arrival(
    number: int, at: float, workspace: WorkspaceLoad, plan: LoadPlan, rng: random.Random
) -> Arrival:
    weights = [kind.weight for kind in workspace.requests]
    kind = rng.choices(workspace.requests, weights)[0]
    keyed = kind.idempotency_key
    return Arrival(
        at=at,
        number=number,
        workspace=workspace,
        kind=kind,
        daemon=rng.choice(plan.daemons),
        repeats=keyed and rng.random() < kind.repeat_share,
        abandons=keyed and rng.random() < kind.abandon_share,
    )
