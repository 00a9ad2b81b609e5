"""When this VM last heard the store and other VMs, and what they knew."""

from collections import OrderedDict

from lacewingpond.util.clock import Clock

MAX_PEERS = 4_096


class Contacts:
    """Remembers contacts with the store and with peers.

    Attributes
    ----------
    fleet_revision : int
        Highest revision that any VM has told of.
    """

    __slots__ = ("_clock", "_started_at", "_own_store_at", "_store_at", "_peers")
    __slots__ += ("fleet_revision",)

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self._own_store_at = self._started_at
        self._store_at = self._started_at
        self._peers: OrderedDict[str, float] = OrderedDict()
        self.fleet_revision = 0

    def heard_store(self) -> None:
        """Note an answer of the store to this VM."""
        self._own_store_at = self._clock.now()
        self._store_at = self._own_store_at

    def heard_peer(self, vm_id: str, revision: int, store_age_s: float) -> None:
        """Note a message of another VM and what it says."""
        now = self._clock.now()
        self._peers[vm_id] = now
        self._peers.move_to_end(vm_id)
        if len(self._peers) > MAX_PEERS:
            self._peers.popitem(last=False)
        self._store_at = max(self._store_at, now - max(store_age_s, 0.0))
        self.fleet_revision = max(self.fleet_revision, revision)

    def own_store_age_s(self) -> float:
        """Return how long ago the store answered this VM."""
        return self._clock.now() - self._own_store_at

    def store_age_s(self) -> float:
        """Return how long ago this VM, or one that it heard, heard the store."""
        return self._clock.now() - self._store_at

    def peer_age_s(self) -> float:
        """Return how long ago any VM was heard."""
        if not self._peers:
            return self._clock.now() - self._started_at
        return self._clock.now() - next(reversed(self._peers.values()))

    def heard_within(self, seconds: float) -> tuple[str, ...]:
        """Return the VMs heard within the last `seconds`, latest first."""
        since = self._clock.now() - seconds
        recent = []
        for vm_id, heard_at in reversed(self._peers.items()):
            if heard_at < since:
                break
            recent.append(vm_id)
        return tuple(recent)
