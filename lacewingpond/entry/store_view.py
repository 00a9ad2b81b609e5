"""View of the store on one VM: configuration, targets and members of the fleet."""

from collections.abc import Callable

from lacewingpond.entry.evacuation.evacuations import Evacuations
from lacewingpond.entry.formats import Formats
from lacewingpond.entry.member import Member, decode_member
from lacewingpond.entry.model.config_position import ConfigPosition
from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.entry.registration import LEASE_TTL_S
from lacewingpond.entry.store_cache import StoreCache
from lacewingpond.entry.store_contact import StoreContact
from lacewingpond.store.base import NO_ERA, WatchEvent
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock


class StoreView:
    """Decoded state of the store cache, with listeners for its changes.

    A target or member that goes missing until shortly after an outage of the store is
    kept for a grace period, because its lease may have lapsed while it could not renew
    it. For targets the period begins with the return of the store: what is removed
    later has left.

    Parameters
    ----------
    cache : StoreCache
        Source of the changes.
    formats : Formats
        Keys of the store and decoders of their values.
    clock : Clock
        Dates outages and missing entries.
    log : DecisionLog
        Log of changes and of entries that can't be decoded.
    missing_grace_s : float
        How long after an outage of the store an entry may be missing, in seconds.

    Attributes
    ----------
    config : EntryConfig or None
        Newest configuration; None before the first.
    targets : dict of str to EntryTarget
        Targets by id, including draining ones.
    members : dict of str to Member
        Daemons by VM id, including this one.
    evacuations : Evacuations
        Failure domains whose targets get no requests.
    """

    __slots__ = ("config", "targets", "members", "_formats", "_clock", "_cache")
    __slots__ += ("_config_era", "_era_began_at")
    __slots__ += (
        "_log",
        "missing_grace_s",
        "_contact",
        "_missing_targets",
        "_unreadable_targets",
        "_missing_members",
        "_on_config",
    )
    __slots__ += ("_on_targets", "_on_members", "evacuations", "_on_evacuations")

    def __init__(
        self,
        cache: StoreCache,
        formats: Formats,
        clock: Clock,
        log: DecisionLog,
        missing_grace_s: float,
    ) -> None:
        self.config: EntryConfig | None = None
        self._config_era = NO_ERA
        self._cache = cache
        self.targets: dict[str, EntryTarget] = {}
        self.members: dict[str, Member] = {}
        self._formats = formats
        self._clock = clock
        self._log = log
        self.missing_grace_s = missing_grace_s
        self._contact = StoreContact()
        self._era_began_at = float("-inf")
        self._unreadable_targets: set[str] = set()
        self._missing_targets: dict[str, float] = {}
        self._missing_members: dict[str, float] = {}
        self._on_config: list[Callable[[EntryConfig], None]] = []
        self._on_targets: list[Callable[[], None]] = []
        self._on_members: list[Callable[[], None]] = []
        self.evacuations = Evacuations(formats, clock, log)
        self._on_evacuations: list[Callable[[], None]] = []
        cache.on_change(self._apply)

    @property
    def config_position(self) -> ConfigPosition:
        """Position of the configuration in force, to compare it with that of peers."""
        if self.config is None:
            return ConfigPosition()
        return ConfigPosition(self.config.version, self._config_era)

    def on_config(self, listener: Callable[[EntryConfig], None]) -> None:
        """Call `listener` with each configuration that is applied."""
        self._on_config.append(listener)

    def on_targets(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the targets."""
        self._on_targets.append(listener)

    def on_members(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the members."""
        self._on_members.append(listener)

    def on_evacuations(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the evacuated failure domains."""
        self._on_evacuations.append(listener)

    def record_contact(self, at: float, source: str) -> None:
        """Record that the store served a call, before its changes are applied.

        Parameters
        ----------
        at : float
            Boot-clock time in seconds at which the call was made.
        source : str
            Who made it, for the log.
        """
        gap_s = self._contact.record(at)
        if gap_s > 0.0:
            self._log.decision("store", "returned", source, gap_s=round(gap_s, 3))

    def record_new_era(self) -> None:
        """Record that the store came back now, from a copy that may lack entries."""
        self._era_began_at = self._clock.now()
        self._contact.record_return(self._clock.boot())

    def is_listed(self, vm_id: str) -> bool:
        """Return whether the store has an entry of a daemon, as far as is known."""
        return vm_id in self.members and vm_id not in self._missing_members

    def drop_due_in_s(self, max_s: float) -> float:
        """Return when to call `drop_missing` next, in seconds from now.

        At most `max_s`, earlier if the grace period of a missing target ends before.
        """
        first = min(self._missing_targets.values(), default=float("inf"))
        return min(max(first - self._clock.now(), 0.0), max_s)

    def drop_missing(self) -> None:
        """Drop missing entries whose grace period has ended; call periodically."""
        now = self._clock.now()
        targets = _pop_expired(self._missing_targets, now)
        for target_id in targets:
            self._drop_target(target_id, "missing from the store since an outage")
        if targets:
            self._notify(self._on_targets)
        members = _pop_expired(self._missing_members, now)
        for vm_id in members:
            self._drop_member(vm_id, "missing from the store since an outage")
        if members:
            self._notify(self._on_members)
        if self.evacuations.drop_missing():
            self._notify(self._on_evacuations)

    def _apply(self, events: tuple[WatchEvent, ...]) -> None:
        targets_changed = members_changed = False
        formats = self._formats
        evacuation_events: list[WatchEvent] = []
        for event in events:
            if event.key == formats.config_key:
                self._apply_config(event)
            elif event.key.startswith(formats.targets_prefix):
                self._apply_target(event, event.key[len(formats.targets_prefix) :])
                targets_changed = True
            elif event.key.startswith(formats.members_prefix):
                self._apply_member(event, event.key[len(formats.members_prefix) :])
                members_changed = True
            elif (prefix := formats.evacuations_prefix) and event.key.startswith(
                prefix
            ):
                evacuation_events.append(event)
        # Before the listeners of targets, so that these find a new one evacuated.
        if self._apply_evacuations(evacuation_events):
            self._notify(self._on_evacuations)
        if targets_changed:
            self._notify(self._on_targets)
        if members_changed:
            self._notify(self._on_members)

    def _apply_config(self, event: WatchEvent) -> None:
        if event.value is None:
            self._log.decision("config", "removed", "the last version stays current")
            return
        decoded = self._formats.decode_config(event.value)
        if decoded.is_err():
            self._log.decision(
                "config", "unreadable", decoded.err_value, revision=event.revision
            )
            return
        cfg = decoded.ok_value
        era = self._cache.position.era
        if ConfigPosition(cfg.version, era) <= self.config_position:
            self._log.decision(
                "config", str(cfg.version), "not newer than the current version"
            )
            return
        self.config, self._config_era = cfg, era
        self._log.decision("config", str(cfg.version), "in force", rev=event.revision)
        for listener in self._on_config:
            listener(cfg)

    def _apply_target(self, event: WatchEvent, target_id: str) -> None:
        if event.value is None:
            self._remove_target(target_id)
            return
        self._missing_targets.pop(target_id, None)
        decoded = self._formats.decode_instance(target_id, event.value)
        if decoded.is_err():
            self._drop_unreadable_target(target_id, decoded.err_value)
            return
        self._unreadable_targets.discard(target_id)
        target = decoded.ok_value
        known = self.targets.get(target_id)
        if known is None or known.draining != target.draining:
            why = "draining" if target.draining else "ready"
            self._log.decision("target", target_id, why, service=target.service)
        self.targets[target_id] = target

    def _apply_evacuations(self, events: list[WatchEvent]) -> bool:
        """Apply changes of evacuations, and those of the known failure domains."""
        if not events:
            return self.evacuations.update_domains(self._known_domains)
        grace_s = self.missing_grace_s if self._grace_left_s() > 0.0 else 0.0
        return self.evacuations.apply(
            events,
            self._cache.position.era,
            self._known_domains(),
            grace_s,
        )

    def _known_domains(self) -> set[str]:
        entries = (*self.targets.values(), *self.members.values())
        return {entry.failure_domain for entry in entries}

    def _remove_target(self, target_id: str) -> None:
        self._unreadable_targets.discard(target_id)
        grace_s = self._grace_left_s()
        known = self.targets.get(target_id)
        # A draining target that disappears has stopped, also during an outage.
        if known is None or known.draining or grace_s <= 0.0:
            self._drop_target(target_id, "removed")
        elif target_id not in self._missing_targets:
            self._missing_targets[target_id] = self._clock.now() + grace_s
            self._log.decision(
                "target", target_id, "missing, kept", grace_s=round(grace_s, 3)
            )

    def _grace_left_s(self) -> float:
        """Return for how long a missing entry may still come back after an outage."""
        return self._contact.returned_at + self.missing_grace_s - self._clock.boot()

    def _drop_unreadable_target(self, target_id: str, why: str) -> None:
        """Drop a target whose entry can't be decoded, and log that once."""
        self.targets.pop(target_id, None)
        if target_id not in self._unreadable_targets:
            self._unreadable_targets.add(target_id)
            self._log.decision("target", target_id, f"unreadable entry: {why}")

    def _drop_target(self, target_id: str, why: str) -> None:
        if self.targets.pop(target_id, None) is not None:
            self._log.decision("target", target_id, why)

    def _apply_member(self, event: WatchEvent, vm_id: str) -> None:
        if event.value is None:
            self._remove_member(vm_id)
            return
        self._missing_members.pop(vm_id, None)
        decoded = decode_member(event.value)
        if decoded.is_err():
            self._log.decision(
                "member", vm_id, f"unreadable entry: {decoded.err_value}"
            )
            return
        self.members[vm_id] = decoded.ok_value

    def _remove_member(self, vm_id: str) -> None:
        now = self._clock.now()
        if vm_id not in self.members or self._grace_left_s() <= 0.0:
            self._drop_member(vm_id, "removed")
        else:
            grace_s = self.missing_grace_s
            if now - self._era_began_at <= self.missing_grace_s:
                # It holds its shares of quotas for as long as after a crash.
                grace_s = max(grace_s, LEASE_TTL_S)
            self._missing_members.setdefault(vm_id, now + grace_s)

    def _drop_member(self, vm_id: str, why: str) -> None:
        if self.members.pop(vm_id, None) is not None:
            self._log.decision("member", vm_id, why)

    def _notify(self, listeners: list[Callable[[], None]]) -> None:
        for listener in listeners:
            listener()


def _pop_expired(deadlines: dict[str, float], now: float) -> list[str]:
    expired = [name for name, at in deadlines.items() if at <= now]
    for name in expired:
        del deadlines[name]
    return expired
