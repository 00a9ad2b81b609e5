"""Times of the last contacts with the store and with other VMs."""

from collections import OrderedDict

from lacewingpond.util.clock import Clock

MAX_PEERS = 4_096  # beyond this, the VM seen least recently is dropped


class ContactTimes:
    """Records when the store and other VMs last responded, and their revisions.

    Of other VMs only messages about the configuration count; `Membership` records its
    own contacts.

    Attributes
    ----------
    fleet_revision : int
        Highest revision that another VM has reported.
    """

    __slots__ = (
        "_clock",
        "_started_at",
        "_own_store_response_at",
        "_store_response_at",
        "_peers",
    )
    __slots__ += ("fleet_revision",)

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self._own_store_response_at = self._started_at
        self._store_response_at = self._started_at
        self._peers: OrderedDict[str, float] = OrderedDict()
        self.fleet_revision = 0

    def record_store_response(self) -> None:
        """Record that the store responded to this VM."""
        self._own_store_response_at = self._clock.now()
        self._store_response_at = self._own_store_response_at

    def record_peer_message(
        self, vm_id: str, revision: int, store_age_s: float
    ) -> None:
        """Record a message about the configuration, and what it tells.

        Parameters
        ----------
        vm_id : str
            The sender.
        revision : int
            The sender's current revision.
        store_age_s : float
            Seconds since the store responded to any VM, as far as the sender knows.
        """
        now = self._clock.now()
        self._peers[vm_id] = now
        self._peers.move_to_end(vm_id)
        if len(self._peers) > MAX_PEERS:
            self._peers.popitem(last=False)
        self._store_response_at = max(
            self._store_response_at, now - max(store_age_s, 0.0)
        )
        self.fleet_revision = max(self.fleet_revision, revision)

    def own_store_age_s(self) -> float:
        """Return the seconds since the store responded to this VM."""
        return self._clock.now() - self._own_store_response_at

    def store_age_s(self) -> float:
        """Return the seconds since the store is known to have responded to any VM."""
        return self._clock.now() - self._store_response_at

    def peer_age_s(self) -> float:
        """Return the seconds since the last message from another VM."""
        if not self._peers:
            return self._clock.now() - self._started_at
        return self._clock.now() - next(reversed(self._peers.values()))

    def peers_seen_within(self, seconds: float) -> tuple[str, ...]:
        """Return the VMs that sent a message in the last `seconds`, latest first."""
        since = self._clock.now() - seconds
        recent = []
        for vm_id, seen_at in reversed(self._peers.items()):
            if seen_at < since:
                break
            recent.append(vm_id)
        return tuple(recent)
