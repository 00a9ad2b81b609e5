"""Keeps this daemon's member entry in the store."""

import random

import gevent

from lacewingpond.entry.member import Member
from lacewingpond.store.base import ListingStore, StoreFailure
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.util.clock import Clock
from lacewingpond.util.keep_running import keep_running

LEASE_TTL_S = 20.0  # a crashed daemon's quota shares stay unused for as long
RENEW_RATIO = 0.4  # of the TTL; two renewals may be lost
FIRST_RETRY_S = 1.0  # pause after a failed call; doubles with each failure
MAX_REGISTRATIONS_PER_S = 800.0  # of a fleet that lost its entries; two writes each
MAX_RETRY_S = 8.0  # limits the store's load when a whole fleet restarts


class Registration:
    """Writes the entry under a lease and renews the lease.

    Parameters
    ----------
    store : ListingStore
        The platform's store.
    key : str
        Key of the entry.
    member : Member
        Content of the entry.
    clock : Clock
        Times renewals and retries.
    rng : random.Random
        Spreads calls over time.
    log : DecisionLog
        Log of registrations, losses of the entry and failed calls.
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
        self._retry_s = FIRST_RETRY_S
        self._listed = self._left = False
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Register, and keep the entry until `stop` or `leave`."""
        self._greenlet = gevent.spawn(
            keep_running, "registration", self._run, self._clock, self._log
        )

    def stop(self) -> None:
        """Stop renewing the lease; the entry ends with it."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def leave(self) -> None:
        """Remove the entry, so that peers take over this daemon's quota shares."""
        self._left = True
        self.stop()
        lease, self._lease = self._lease, None
        if lease is None:
            return
        ended = self._store.end_lease(lease)
        why = "left" if ended.is_ok() else f"not left: {ended.err_value.detail}"
        self._log.decision("registration", self._key, why)

    def record_listed(self, listed: bool, fleet_size: int = 1) -> None:
        """Record whether the store has the entry; write it again if it vanished.

        Parameters
        ----------
        listed : bool
            Whether the store has it.
        fleet_size : int
            Number of daemons, which may all have lost their entries.
        """
        if self._listed and not listed and not self._left:
            self._register_again("vanished", fleet_size)
        self._listed = listed

    def record_new_era(self, fleet_size: int) -> None:
        """Write the entry again, under a new lease, after the store has gone back.

        The store may have lost the lease, and given out its number again.
        """
        if self._greenlet is not None and not self._left:
            self._register_again("the store has gone back", fleet_size)

    def _register_again(self, why: str, fleet_size: int) -> None:
        self._log.decision("registration", self._key, why)
        self.stop()
        self._lease = None
        spread_s = max(FIRST_RETRY_S, fleet_size / MAX_REGISTRATIONS_PER_S)
        delay_s = self._rng.uniform(0.0, spread_s)
        self._greenlet = gevent.spawn(self._start_after, delay_s)

    def _start_after(self, delay_s: float) -> None:
        self._clock.sleep(delay_s)
        self.start()

    def _run(self) -> None:
        while True:
            if self._step():
                self._retry_s = FIRST_RETRY_S
                pause_s = LEASE_TTL_S * RENEW_RATIO
            else:
                pause_s = self._retry_s
                self._retry_s = min(self._retry_s * 2.0, MAX_RETRY_S)
            self._clock.sleep(pause_s * self._rng.uniform(0.7, 1.0))

    def _step(self) -> bool:
        return self._renew() if self._lease is not None else self._register()

    def _register(self) -> bool:
        granted = self._store.grant_lease(LEASE_TTL_S)
        if granted.is_err():
            self._log.decision("registration", "lease", granted.err_value.detail)
            return False
        written = self._store.put(self._key, self._member.encode(), granted.ok_value)
        if written.is_err():
            # The lease expires, and the entry with it if it was written after all.
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
