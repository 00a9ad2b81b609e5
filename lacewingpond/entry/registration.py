"""Keeps this daemon's entry in the store."""

import random

import gevent

from lacewingpond.entry.member import Member
from lacewingpond.store.base import ListingStore, StoreFailure
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.keep_running import keep_running

TTL_S = 20.0  # a vanished daemon's share of the quotas lies idle for so long
RENEW_SHARE = 0.4  # two renewals may be lost
RETRY_S = 1.0  # pause after a failed call; doubles
MAX_RETRY_S = 8.0  # a fleet that starts again must not press the store


class Registration:
    """Registers under a lease and renews it.

    Parameters
    ----------
    store : ListingStore
        The platform's store.
    key : str
        Key of the entry.
    member : Member
        What it says.
    clock : Clock
        Waits.
    rng : random.Random
        Spreads calls.
    log : DecisionLog
        Takes gains and losses of the entry.
    """

    __slots__ = ("_store", "_key", "_member", "_clock", "_rng", "_log", "_lease")
    __slots__ += ("_retry_s", "_listed", "_left", "_greenlet")

    def __init__(
        self,
        store: ListingStore,
        key: str,
        member: Member,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._key = key
        self._member = member
        self._clock = clock
        self._rng = rng
        self._log = log
        self._lease: str | None = None
        self._retry_s = RETRY_S
        self._listed = self._left = False
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Keep the entry from now on."""
        self._greenlet = gevent.spawn(
            keep_running, "registration", self._run, self._clock, self._log
        )

    def stop(self) -> None:
        """Leave the entry as it is, to end with its lease."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def leave(self) -> None:
        """Remove the entry, so that others take this daemon's shares over."""
        self._left = True
        self.stop()
        lease, self._lease = self._lease, None
        if lease is None:
            return
        ended = self._store.end_lease(lease)
        why = "left" if ended.is_ok() else f"not left: {ended.err_value.detail}"
        self._log.decision("registration", self._key, why)

    def note_listed(self, listed: bool) -> None:
        """Note whether the store lists the entry; write one that has vanished."""
        if self._listed and not listed and not self._left:
            self._log.decision("registration", self._key, "vanished")
            self.stop()
            self._lease = None
            # The whole fleet may find its entries gone at the same moment.
            delay_s = self._rng.uniform(0.0, RETRY_S)
            self._greenlet = gevent.spawn(self._start_after, delay_s)
        self._listed = listed

    def _start_after(self, delay_s: float) -> None:
        self._clock.sleep(delay_s)
        self.start()

    def _run(self) -> None:
        while True:
            if self._step():
                self._retry_s = RETRY_S
                pause_s = TTL_S * RENEW_SHARE
            else:
                pause_s = self._retry_s
                self._retry_s = min(self._retry_s * 2.0, MAX_RETRY_S)
            self._clock.sleep(pause_s * self._rng.uniform(0.7, 1.0))

    def _step(self) -> bool:
        return self._renew() if self._lease is not None else self._register()

    def _register(self) -> bool:
        granted = self._store.grant_lease(TTL_S)
        if granted.is_err():
            self._log.decision("registration", "lease", granted.err_value.detail)
            return False
        written = self._store.put(self._key, self._member.encode(), granted.ok_value)
        if written.is_err():
            # The lease ends by itself, with the entry if it was written after all.
            self._log.decision("registration", "entry", written.err_value.detail)
            return False
        self._lease = granted.ok_value
        self._log.decision("registration", self._key, "registered")
        return True

    def _renew(self) -> bool:
        renewed = self._store.keep_alive(self._lease)
        if renewed.is_ok():
            return True
        self._log.decision("registration", "renewal", renewed.err_value.detail)
        if renewed.err_value.failure is StoreFailure.CONFLICT:
            self._lease = None
        return False
