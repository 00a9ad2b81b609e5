"""Callers that hold one connection open for the whole run."""

from collections.abc import Iterator

from lacewingpond.load.plan import LoadPlan, WorkspaceLoad
from lacewingpond.load.schedule import ScheduledRequest

SESSION_INTERVAL_S = 1.0


class HeldSession:
    """A caller that sends one request per second over one open connection.

    Parameters
    ----------
    plan : LoadPlan
        Plan of the run.
    workspace : WorkspaceLoad
        Workspace of the caller.
    daemon : str
        ``host:port`` of the daemon that gets the requests while it is ready.
    first_number : int
        Number of the first request; the following requests are numbered
        consecutively.
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
        """Return all sessions of a plan.

        Parameters
        ----------
        plan : LoadPlan
            The plan.
        first_number : int
            First free number of a request; each session gets a range of its own.
        """
        requests_per_session = int(plan.duration_s / SESSION_INTERVAL_S) + 1
        sessions: list[HeldSession] = []
        for workspace in plan.workspaces:
            for _ in range(workspace.held_sessions):
                daemon = plan.daemons[len(sessions) % len(plan.daemons)]
                number = first_number + len(sessions) * requests_per_session
                sessions.append(cls(plan, workspace, daemon, number))
        return sessions

    def requests(self) -> Iterator[ScheduledRequest]:
        """Yield the requests of the session in order of time."""
        for period in range(int(self._plan.duration_s / SESSION_INTERVAL_S)):
            yield ScheduledRequest(
                at=period * SESSION_INTERVAL_S,
                number=self._first_number + period,
                workspace=self._workspace,
                kind=self._workspace.requests[0],
                daemon=self._daemon,
                repeats=False,
                abandons=False,
            )
