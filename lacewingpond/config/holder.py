"""The current configuration of this VM, and its listeners."""

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
"""Called with the new configuration and its difference to the previous one."""

MAX_STEPS = 256
MAX_ITEMS_PER_STEP = 200  # larger steps cost more to keep than to fetch as chunks


class RevisionStep(Struct, frozen=True):
    """Difference of one revision to the previous one.

    Parameters
    ----------
    revision : int
        The later revision.
    plan_id : str
        Plan that created it.
    changes : Changes
        Items that it changed.
    root : bytes
        Digest of the later revision.
    lines : tuple of DiffLine
        The changes in a form for operators.
    """

    revision: int
    plan_id: str
    changes: Changes
    root: bytes
    lines: tuple[DiffLine, ...] = ()

    @classmethod
    def between(
        cls, old: ConfigState, new: ConfigState, changes: Changes
    ) -> "RevisionStep":
        """Return the step from `old` to `new`, the next revision."""
        lines = diff_lines(old.find, changes)
        return cls(new.revision, new.head.plan_id, changes, new.root, lines)


class ConfigHolder:
    """Holds the current revision of this VM, which never goes back.

    Parameters
    ----------
    state : ConfigState or None
        The first revision; None for an empty one.
    log : DecisionLog or None
        Logs exceptions of listeners; None logs them to eliot.

    Attributes
    ----------
    state : ConfigState
        The current revision with its chunks.
    """

    __slots__ = ("state", "_listeners", "_steps", "_log")

    def __init__(
        self, state: ConfigState | None = None, log: DecisionLog | None = None
    ) -> None:
        self._log = log if log is not None else EliotDecisionLog("")
        self.state = state if state is not None else ConfigState.empty()
        self._listeners: list[ConfigListener] = []
        self._steps: deque[RevisionStep] = deque(maxlen=MAX_STEPS)

    @property
    def current(self) -> Config:
        """The current configuration."""
        return self.state.cfg

    @property
    def revision(self) -> int:
        """Number of the current revision."""
        return self.state.revision

    def on_change(self, listener: ConfigListener) -> None:
        """Call `listener` after each change of the current revision."""
        self._listeners.append(listener)

    def replace(self, state: ConfigState) -> bool:
        """Make `state` current; return False, without effect, unless it is newer."""
        if state.revision <= self.revision:
            return False
        changes = self.state.changes_to(state)
        if state.revision == self.revision + 1:
            self._record_step(state, changes)
        else:
            self._steps.clear()
        self.state = state
        for listener in self._listeners:
            self._notify(listener, changes)
        return True

    def steps_after(self, revision: int) -> tuple[RevisionStep, ...] | None:
        """Return the steps from `revision` to the current one; None if any is lost."""
        if revision >= self.revision:
            return ()
        steps = tuple(step for step in self._steps if step.revision > revision)
        return steps if len(steps) == self.revision - revision else None

    def _notify(self, listener: ConfigListener, changes: Changes) -> None:
        # The revision is already current, so an exception in one listener must not
        # keep it from the others.
        try:
            listener(self.current, changes)
        except Exception as exc:  # noqa: BLE001
            self._log.decision(
                "config-fault",
                str(self.revision),
                "a listener failed to apply the revision",
                detail=repr(exc),
            )

    def _record_step(self, state: ConfigState, changes: Changes) -> None:
        """Keep the step to `state`, or drop all steps if it has too many items."""
        if changes.size > MAX_ITEMS_PER_STEP:
            self._steps.clear()
            return
        self._steps.append(RevisionStep.between(self.state, state, changes))
