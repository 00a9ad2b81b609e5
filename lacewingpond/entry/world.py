"""What this VM believes: the configuration, the targets and the other daemons."""

from collections.abc import Callable

from lacewingpond.entry.catalog import Catalog
from lacewingpond.entry.formats import Formats
from lacewingpond.entry.member import Member, decode_member
from lacewingpond.entry.model.fleet_config import FleetConfig
from lacewingpond.entry.model.instance import Instance
from lacewingpond.store.base import WatchEvent
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

OUTAGE_MEMORY_S = 2.6  # the longest pause between two calls, and a question to a peer


class World:
    """Decodes the catalog's changes and passes on what they mean.

    Parameters
    ----------
    catalog : Catalog
        Source of all changes.
    formats : Formats
        Keys and decoders.
    clock : Clock
        Dates entries that are missing after an outage.
    log : DecisionLog
        Takes changes of belief and entries that can't be read.
    missing_grace_s : float
        How long after an outage of the store a missing target may come back.

    Attributes
    ----------
    config : FleetConfig or None
        The newest configuration; None before the first.
    instances : dict of str to Instance
        Targets by id, draining ones too.
    members : dict of str to Member
        Daemons by VM id, this one too.
    """

    __slots__ = ("config", "instances", "members", "_formats", "_clock")
    __slots__ += (
        "_log",
        "missing_grace_s",
        "_outage_seen_at",
        "_missing",
        "_missing_members",
        "_on_config",
    )
    __slots__ += ("_on_targets", "_on_members")

    def __init__(
        self,
        catalog: Catalog,
        formats: Formats,
        clock: Clock,
        log: DecisionLog,
        missing_grace_s: float,
    ) -> None:
        self.config: FleetConfig | None = None
        self.instances: dict[str, Instance] = {}
        self.members: dict[str, Member] = {}
        self._formats = formats
        self._clock = clock
        self._log = log
        self.missing_grace_s = missing_grace_s
        self._outage_seen_at = float("-inf")
        self._missing: dict[str, float] = {}
        self._missing_members: dict[str, float] = {}
        self._on_config: list[Callable[[FleetConfig], None]] = []
        self._on_targets: list[Callable[[], None]] = []
        self._on_members: list[Callable[[], None]] = []
        catalog.on_change(self._take)

    def on_config(self, listener: Callable[[FleetConfig], None]) -> None:
        """Call `listener` with each newer configuration."""
        self._on_config.append(listener)

    def on_targets(self, listener: Callable[[], None]) -> None:
        """Call `listener` after the targets have changed."""
        self._on_targets.append(listener)

    def on_members(self, listener: Callable[[], None]) -> None:
        """Call `listener` after the members have changed."""
        self._on_members.append(listener)

    def note_outage(self) -> None:
        """Note that the store does not answer now."""
        self._outage_seen_at = self._clock.now()

    def is_listed(self, vm_id: str) -> bool:
        """Return whether the store lists a daemon, as far as is known here."""
        return vm_id in self.members and vm_id not in self._missing_members

    def drop_missing(self) -> None:
        """Drop what has not come back after an outage; call now and then."""
        now = self._clock.now()
        targets = _take_due(self._missing, now)
        for target_id in targets:
            self._drop(target_id, "not back after the outage")
        if targets:
            self._tell(self._on_targets)
        members = _take_due(self._missing_members, now)
        for vm_id in members:
            self._drop_member(vm_id, "not back after the outage")
        if members:
            self._tell(self._on_members)

    def _take(self, events: tuple[WatchEvent, ...]) -> None:
        targets_changed = members_changed = False
        formats = self._formats
        for event in events:
            if event.key == formats.config_key:
                self._take_config(event)
            elif event.key.startswith(formats.targets_prefix):
                self._take_target(event, event.key[len(formats.targets_prefix) :])
                targets_changed = True
            elif event.key.startswith(formats.members_prefix):
                self._take_member(event, event.key[len(formats.members_prefix) :])
                members_changed = True
        if targets_changed:
            self._tell(self._on_targets)
        if members_changed:
            self._tell(self._on_members)

    def _take_config(self, event: WatchEvent) -> None:
        if event.value is None:
            self._log.decision("config", "removed", "kept the last one")
            return
        decoded = self._formats.decode_config(event.value)
        if decoded.is_err():
            self._log.decision(
                "config", "unreadable", decoded.err_value, revision=event.revision
            )
            return
        cfg = decoded.ok_value
        if self.config is not None and cfg.version <= self.config.version:
            self._log.decision("config", str(cfg.version), "not newer")
            return
        self.config = cfg
        self._log.decision("config", str(cfg.version), "in force", rev=event.revision)
        for listener in self._on_config:
            listener(cfg)

    def _take_target(self, event: WatchEvent, target_id: str) -> None:
        if event.value is None:
            self._take_missing(target_id)
            return
        self._missing.pop(target_id, None)
        decoded = self._formats.decode_instance(target_id, event.value)
        if decoded.is_err():
            self._drop(target_id, f"unreadable entry: {decoded.err_value}")
            return
        instance = decoded.ok_value
        known = self.instances.get(target_id)
        if known is None or known.draining != instance.draining:
            why = "draining" if instance.draining else "ready"
            self._log.decision("target", target_id, why, service=instance.service)
        self.instances[target_id] = instance

    def _take_missing(self, target_id: str) -> None:
        now = self._clock.now()
        known = self.instances.get(target_id)
        # An instance that was leaving has left, whatever became of the store.
        if known is None or known.draining or self._is_calm(now):
            self._drop(target_id, "removed")
        else:
            self._missing.setdefault(target_id, now + self.missing_grace_s)

    def _is_calm(self, now: float) -> bool:
        return now - self._outage_seen_at > OUTAGE_MEMORY_S

    def _drop(self, target_id: str, why: str) -> None:
        if self.instances.pop(target_id, None) is not None:
            self._log.decision("target", target_id, why)

    def _take_member(self, event: WatchEvent, vm_id: str) -> None:
        if event.value is None:
            self._take_missing_member(vm_id)
            return
        self._missing_members.pop(vm_id, None)
        decoded = decode_member(event.value)
        if decoded.is_err():
            self._log.decision("member", vm_id, f"unreadable: {decoded.err_value}")
            return
        self.members[vm_id] = decoded.ok_value

    def _take_missing_member(self, vm_id: str) -> None:
        now = self._clock.now()
        if vm_id not in self.members or self._is_calm(now):
            self._drop_member(vm_id, "removed")
        else:
            self._missing_members.setdefault(vm_id, now + self.missing_grace_s)

    def _drop_member(self, vm_id: str, why: str) -> None:
        if self.members.pop(vm_id, None) is not None:
            self._log.decision("member", vm_id, why)

    def _tell(self, listeners: list[Callable[[], None]]) -> None:
        for listener in listeners:
            listener()


def _take_due(missing: dict[str, float], now: float) -> list[str]:
    due = [name for name, at in missing.items() if at <= now]
    for name in due:
        del missing[name]
    return due
