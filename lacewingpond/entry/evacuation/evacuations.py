"""The evacuated failure domains, as the store and peers have told this VM."""

from collections.abc import Callable, Collection, Iterable, KeysView

from lacewingpond.entry.evacuation.evacuation import Evacuation
from lacewingpond.entry.formats import Formats
from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.store.base import WatchEvent
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock

MAX_DOMAIN_CHARS = 64
"""Longest name of a domain; relayed requests name all evacuated ones in a header."""
WITHDRAWN = "withdrawn"
MISSING = "missing from the store since an outage"


class Evacuations:
    """The evacuations in force, with listeners for their begin and end.

    The key alone is sufficient: a value that can't be decoded counts as well. A domain
    in which no target and no VM is known is kept apart, as its name may be wrong, and
    counts from when one of them is known.

    Parameters
    ----------
    formats : Formats
        Prefix of the keys and decoder of the values.
    clock : Clock
        Dates missing keys.
    log : DecisionLog
        Log of begins, ends and keys that are not understood.

    Attributes
    ----------
    proof_age_s : callable
        Returns the age of the proof of freshness in seconds, for the log.
    """

    __slots__ = ("proof_age_s", "_formats", "_clock", "_log", "_in_force", "_unknown")
    __slots__ += ("_missing", "_on_ended")

    def __init__(self, formats: Formats, clock: Clock, log: DecisionLog) -> None:
        self.proof_age_s: Callable[[], float] = lambda: float("inf")
        self._formats = formats
        self._clock = clock
        self._log = log
        self._in_force: dict[str, Evacuation] = {}
        self._unknown: dict[str, Evacuation] = {}
        self._missing: dict[str, float] = {}
        self._on_ended: list[Callable[[str], None]] = []

    def __len__(self) -> int:
        """Return the number of evacuated domains."""
        return len(self._in_force)

    @property
    def domains(self) -> KeysView[str]:
        """Names of the evacuated domains."""
        return self._in_force.keys()

    def covers(self, target: EntryTarget) -> bool:
        """Return whether a target is in an evacuated domain."""
        return target.failure_domain in self._in_force

    def get(self, failure_domain: str) -> Evacuation | None:
        """Return the evacuation of a domain, or None if it is not evacuated."""
        return self._in_force.get(failure_domain)

    def on_ended(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with each failure domain whose evacuation has ended."""
        self._on_ended.append(listener)

    def apply(
        self,
        events: Iterable[WatchEvent],
        era: int,
        known_domains: Collection[str],
        removal_grace_s: float,
    ) -> bool:
        """Apply the changes of a batch; only the last one of each key counts.

        Parameters
        ----------
        events : iterable of WatchEvent
            Changes of evacuation keys, by rising revision.
        era : int
            Era of the store in which they were made.
        known_domains : collection of str
            Domains in which a target or a VM is known, after the batch.
        removal_grace_s : float
            How long an evacuation whose key was removed holds on, in seconds: 0, or a
            grace period if the store may have lost the key.

        Returns
        -------
        bool
            Whether the evacuated domains have changed.
        """
        before = set(self._in_force)
        last: dict[str, WatchEvent] = {}
        written: set[str] = set()
        for event in events:
            last[event.key] = event
            if event.value is not None:
                written.add(event.key)
        for key, event in last.items():
            domain = key[len(self._formats.evacuations_prefix) :]
            if event.value is not None:
                self._write(domain, event, era)
            elif domain in self._in_force or domain in self._unknown:
                self._remove(domain, removal_grace_s)
            else:
                if key in written:
                    self._log_key(key, "written and deleted at once", event.revision)
                if domain in known_domains:
                    # This VM missed the evacuation, in which targets may turn cold.
                    self._notify_ended(domain)
        self._begin_known(known_domains, last)
        return before != set(self._in_force)

    def update_domains(self, known_domains: Callable[[], Collection[str]]) -> bool:
        """Begin the evacuations of domains that have become known.

        Returns
        -------
        bool
            Whether the evacuated domains have changed.
        """
        return bool(self._unknown) and self._begin_known(known_domains(), ())

    def drop_missing(self) -> bool:
        """End evacuations whose grace period has ended; return whether there were any.

        To be called periodically.
        """
        now = self._clock.now()
        expired = [domain for domain, at in self._missing.items() if at <= now]
        before = len(self._in_force)
        for domain in expired:
            self._end(domain, MISSING)
        return len(self._in_force) != before

    def _write(self, domain: str, event: WatchEvent, era: int) -> None:
        if not 0 < len(domain) <= MAX_DOMAIN_CHARS:
            key = event.key[: len(self._formats.evacuations_prefix) + MAX_DOMAIN_CHARS]
            why = "name too long" if domain else "no name"
            self._log_key(key, f"ignored: {why}", event.revision)
            return
        decoded = self._formats.decode_evacuation(event.value or b"")
        if decoded.is_err():
            why = f"unreadable value, the key counts: {decoded.err_value}"
            self._log_key(event.key, why, event.revision)
        self._missing.pop(domain, None)
        if domain not in self._in_force and domain not in self._unknown:
            self._unknown[domain] = Evacuation(domain, era, event.revision)

    def _remove(self, domain: str, grace_s: float) -> None:
        if grace_s > 0.0:
            self._missing.setdefault(domain, self._clock.now() + grace_s)
        else:
            self._end(domain, WITHDRAWN)

    def _begin_known(
        self, known_domains: Collection[str], changed_keys: Collection[str]
    ) -> bool:
        found = [domain for domain in self._unknown if domain in known_domains]
        for domain in found:
            evacuation = self._in_force[domain] = self._unknown.pop(domain)
            self._log_evacuation(evacuation, "begin")
        for domain, evacuation in self._unknown.items():
            key = self._formats.evacuations_prefix + domain
            if key in changed_keys:
                self._log_key(key, "unknown failure domain", evacuation.revision)
        return bool(found)

    def _end(self, domain: str, why: str) -> None:
        self._missing.pop(domain, None)
        self._unknown.pop(domain, None)
        evacuation = self._in_force.pop(domain, None)
        if evacuation is None:
            return
        self._log_evacuation(evacuation, f"end: {why}")
        self._notify_ended(domain)

    def _notify_ended(self, domain: str) -> None:
        for listener in self._on_ended:
            listener(domain)

    def _log_evacuation(self, evacuation: Evacuation, why: str) -> None:
        self._log.decision(
            "evacuation",
            evacuation.failure_domain,
            why,
            key=self._formats.evacuations_prefix + evacuation.failure_domain,
            era=evacuation.era,
            revision=evacuation.revision,
            proof_age_s=round(self.proof_age_s(), 2),
            evacuated=len(self._in_force),
        )

    def _log_key(self, key: str, why: str, revision: int) -> None:
        self._log.decision("evacuation-key", key, why, revision=revision)
