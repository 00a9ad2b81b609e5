"""The configuration in force on this VM, and who is told when it changes."""

from collections import deque
from collections.abc import Callable

from msgspec import Struct

from lacewingpond.config.changes import Changes
from lacewingpond.config.diff import DiffLine, diff_lines
from lacewingpond.config.model import Config
from lacewingpond.config.state import ConfigState
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.eliot_decisions import EliotDecisionLog

ConfigListener = Callable[[Config, Changes], None]
"""Takes the new configuration and what differs from the one before."""

MAX_STEPS = 256
MAX_ITEMS_PER_STEP = 200


class Step(Struct, frozen=True):
    """How one revision came from the one before.

    Parameters
    ----------
    revision : int
        The later revision.
    plan_id : str
        Plan that made it.
    changes : Changes
        What it changed.
    root : bytes
        Digest of the later revision.
    lines : tuple of DiffLine
        The changes as an operator reads them.
    """

    revision: int
    plan_id: str
    changes: Changes
    root: bytes
    lines: tuple[DiffLine, ...] = ()

    @classmethod
    def between(cls, old: ConfigState, new: ConfigState, changes: Changes) -> "Step":
        """Return the step that leads from `old` to the next revision."""
        lines = diff_lines(old.find, changes)
        return cls(new.revision, new.head.plan_id, changes, new.root, lines)


class ConfigHolder:
    """Holds the newest revision that this VM has applied; it only rises.

    Parameters
    ----------
    state : ConfigState or None
        The first revision; None for an empty one.
    log : DecisionLog or None
        Takes faults of listeners; None writes them to eliot.

    Attributes
    ----------
    state : ConfigState
        The revision in force with its chunks.
    """

    __slots__ = ("state", "_listeners", "_steps", "_log")

    def __init__(
        self, state: ConfigState | None = None, log: DecisionLog | None = None
    ) -> None:
        self._log = log if log is not None else EliotDecisionLog("")
        self.state = state if state is not None else ConfigState.empty()
        self._listeners: list[ConfigListener] = []
        self._steps: deque[Step] = deque(maxlen=MAX_STEPS)

    @property
    def current(self) -> Config:
        """The configuration in force."""
        return self.state.cfg

    @property
    def revision(self) -> int:
        """Revision of the configuration in force."""
        return self.state.revision

    def on_change(self, listener: ConfigListener) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def replace(self, state: ConfigState) -> bool:
        """Put any later revision in force; False for the same or a lower one."""
        if state.revision <= self.revision:
            return False
        changes = self.state.changes_to(state)
        if state.revision == self.revision + 1:
            self._keep(state, changes)
        else:
            self._steps.clear()
        self.state = state
        for listener in self._listeners:
            self._tell(listener, changes)
        return True

    def steps_after(self, revision: int) -> tuple[Step, ...] | None:
        """Return the steps from `revision` to now; None when some are not known."""
        if revision >= self.revision:
            return ()
        steps = tuple(step for step in self._steps if step.revision > revision)
        return steps if len(steps) == self.revision - revision else None

    def _tell(self, listener: ConfigListener, changes: Changes) -> None:
        # The revision is in force, whatever one part makes of it, and the other
        # parts must still learn of it.
        try:
            listener(self.current, changes)
        except Exception as exc:  # noqa: BLE001
            self._log.decision(
                "config-fault",
                str(self.revision),
                "a part failed to take the revision",
                detail=repr(exc),
            )

    def _keep(self, state: ConfigState, changes: Changes) -> None:
        if changes.size > MAX_ITEMS_PER_STEP:
            # A large step is cheaper to fetch by its chunks than to keep.
            self._steps.clear()
            return
        self._steps.append(Step.between(self.state, state, changes))
