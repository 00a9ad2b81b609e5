"""A request that waits for a slot."""

from gevent.event import Event
from result import Err, Ok, Result

from lacewingpond.queues.refusal import QueueRefusal
from lacewingpond.queues.slot import Slot


class Ticket:
    """A request's place in a queue, and the slot or refusal that it gets.

    Parameters
    ----------
    workspace : str
        Workspace of the request.
    deadline : float
        Time of the clock by which the request must finish, in seconds.
    arrived_at : float
        Time of the clock at which the request arrived, in seconds.
    """

    __slots__ = ("workspace", "deadline", "arrived_at", "result", "_event")

    def __init__(self, workspace: str, deadline: float, arrived_at: float) -> None:
        self.workspace = workspace
        self.deadline = deadline
        self.arrived_at = arrived_at
        self.result: Result[Slot, QueueRefusal] | None = None
        self._event: Event | None = None

    def grant(self, slot: Slot) -> None:
        """Set a slot as the result."""
        self._set_result(Ok(slot))

    def refuse(self, refusal: QueueRefusal) -> None:
        """Set a refusal as the result."""
        self._set_result(Err(refusal))

    def wait(self) -> Result[Slot, QueueRefusal]:
        """Block until there is a result and return it."""
        if self.result is None:
            self._event = Event()
            self._event.wait()
        return self.result

    def _set_result(self, result: Result[Slot, QueueRefusal]) -> None:
        self.result = result
        if self._event is not None:
            self._event.set()
