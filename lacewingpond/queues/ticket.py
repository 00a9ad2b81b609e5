"""One request's wait for a slot."""

from gevent.event import Event
from result import Err, Ok, Result

from lacewingpond.queues.refusal import QueueRefusal
from lacewingpond.queues.slot import Slot


class Ticket:
    """A request that waits for a slot, and the result.

    Parameters
    ----------
    workspace : str
        Workspace of the request.
    deadline : float
        When it must have finished, in seconds of the clock.
    arrived : float
        When it arrived, in seconds of the clock.
    """

    __slots__ = ("workspace", "deadline", "arrived", "result", "_settled")

    def __init__(self, workspace: str, deadline: float, arrived: float) -> None:
        self.workspace = workspace
        self.deadline = deadline
        self.arrived = arrived
        self.result: Result[Slot, QueueRefusal] | None = None
        self._settled: Event | None = None

    def grant(self, slot: Slot) -> None:
        """Give the request its slot."""
        self._settle(Ok(slot))

    def refuse(self, refusal: QueueRefusal) -> None:
        """Refuse the request."""
        self._settle(Err(refusal))

    def wait(self) -> Result[Slot, QueueRefusal]:
        """Block the calling greenlet until the request has a slot or a refusal."""
        if self.result is None:
            self._settled = Event()
            self._settled.wait()
        return self.result

    def _settle(self, result: Result[Slot, QueueRefusal]) -> None:
        self.result = result
        if self._settled is not None:
            self._settled.set()
