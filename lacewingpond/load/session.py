"""Callers that hold one connection open for the whole run."""

from collections.abc import Iterator

from lacewingpond.load.plan import LoadPlan, WorkspaceLoad
from lacewingpond.load.schedule import Arrival

SESSION_PERIOD_S = 1.0


class HeldSession:
    """One caller with one connection, which asks now and then.

    Parameters
    ----------
    plan : LoadPlan
        The run that it belongs to.
    workspace : WorkspaceLoad
        Whose caller it is.
    daemon : str
        Daemon that it stays with while that is ready.
    first_number : int
        Number of its first request.
    """

    __slots__ = ("_plan", "_workspace", "_daemon", "_first_number")

    def __init__(
        self, plan: LoadPlan, workspace: WorkspaceLoad, daemon: str, first_number: int
    ) -> None:
        self._plan = plan
        self._workspace = workspace
        self._daemon = daemon
        self._first_number = first_number

    @classmethod
    def all_of(cls, plan: LoadPlan, first_number: int) -> list["HeldSession"]:
        """Return all sessions of a plan, numbered after its other requests."""
        per_session = int(plan.duration_s / SESSION_PERIOD_S) + 1
        sessions: list[HeldSession] = []
        for workspace in plan.workspaces:
            for _ in range(workspace.held_sessions):
                daemon = plan.daemons[len(sessions) % len(plan.daemons)]
                number = first_number + len(sessions) * per_session
                sessions.append(cls(plan, workspace, daemon, number))
        return sessions

    def arrivals(self) -> Iterator[Arrival]:
        """Yield one request for each period of the run."""
        for turn in range(int(self._plan.duration_s / SESSION_PERIOD_S)):
            yield Arrival(
                at=turn * SESSION_PERIOD_S,
                number=self._first_number + turn,
                workspace=self._workspace,
                kind=self._workspace.requests[0],
                daemon=self._daemon,
                repeats=False,
                abandons=False,
            )
