"""Peers of the entry daemon: their addresses, domains and when each was last seen.

`lacewingpond.membership` has the members of the standalone daemon.
"""

import random
from collections import Counter

from lacewingpond.entry.peers.protocol import BASE_VERSION
from lacewingpond.entry.store_view import StoreView
from lacewingpond.util.clock import Clock

RECENTLY_SEEN_S = 2.0  # a running peer sends several messages a second
CUT_OFF_S = 1.0  # without a message of any peer; each sends several a second
SAME_DOMAIN_RATIO = 0.75  # of pulls without a followed peer; bytes between domains cost


class Fleet:
    """Looks up peers and when each was last seen, and chooses random ones.

    Parameters
    ----------
    vm_id, failure_domain : str
        This VM.
    view : StoreView
        Source of the members.
    clock : Clock
        Dates messages from peers.
    rng : random.Random
        Chooses peers.
    """

    __slots__ = ("vm_id", "failure_domain", "_view", "_clock", "_rng", "_last_seen")
    __slots__ += ("_ids", "_same_domain", "_other_domains", "_speaking", "_sizes")
    __slots__ += ("_last_message_at",)

    def __init__(
        self,
        vm_id: str,
        failure_domain: str,
        view: StoreView,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.vm_id = vm_id
        self.failure_domain = failure_domain
        self._view = view
        self._clock = clock
        self._rng = rng
        self._last_seen: dict[str, float] = {}
        self._last_message_at = float("-inf")
        self._ids: dict[str, str] = {}
        self._same_domain: list[str] = []
        self._other_domains: dict[str, list[str]] = {}
        self._speaking: dict[str, int] = {}
        self._sizes: Counter[str] = Counter()
        view.on_members(self._update_members)

    @property
    def size(self) -> int:
        """Number of daemons in the fleet, with this one; at least 1."""
        return max(len(self._view.members), 1)

    def record_message(self, address: str) -> str | None:
        """Record that a message arrived from `address`.

        Returns
        -------
        str or None
            VM id of the sender; None if no member has this address.
        """
        vm_id = self._ids.get(address)
        if vm_id is not None:
            self._last_seen[vm_id] = self._last_message_at = self._clock.now()
        return vm_id

    @property
    def is_cut_off(self) -> bool:
        """Whether no peer sent a message within `CUT_OFF_S`, although there are peers.

        A VM alone in its fleet is not cut off.
        """
        if len(self._view.members) <= 1:
            return False
        return self._clock.now() - self._last_message_at > CUT_OFF_S

    def is_recently_seen(self, vm_id: str) -> bool:
        """Return whether a peer sent a message within `RECENTLY_SEEN_S`."""
        at = self._last_seen.get(vm_id)
        return at is not None and self._clock.now() - at <= RECENTLY_SEEN_S

    def address(self, vm_id: str) -> str | None:
        """Return a peer's ``host:port``, or None if it is no member."""
        member = self._view.members.get(vm_id)
        return member.address if member else None

    def is_same_domain(self, vm_id: str) -> bool:
        """Return whether a peer runs in this VM's failure domain."""
        member = self._view.members.get(vm_id)
        return member is not None and member.failure_domain == self.failure_domain

    def versions(self) -> Counter[int]:
        """Return how many daemons speak each version of the peer protocol."""
        return Counter(member.version for member in self._view.members.values())

    def domain_peers(self, version: int = BASE_VERSION) -> list[str]:
        """Return the addresses of the peers in this VM's failure domain.

        Only those that speak at least `version` of the peer protocol are returned.
        """
        return self._that_speak(self._same_domain, version)

    def domain_vms(self, version: int) -> list[str]:
        """Return the ids of the peers in this VM's failure domain that speak `version`.

        Later versions count as well.
        """
        return [self._ids[each] for each in self.domain_peers(version)]

    def domain_sizes(self) -> Counter[str]:
        """Return how many daemons run in each failure domain."""
        return self._sizes

    def relays(self, version: int = BASE_VERSION) -> list[str]:
        """Return one address in each other failure domain, of a recently seen peer.

        A domain of which no peer was seen recently gets any of its peers. Only peers
        that speak at least `version` of the peer protocol are chosen, the newest ones
        first, as they pass on all that a message holds.
        """
        chosen = []
        for addresses in self._other_domains.values():
            peers = self._that_speak(addresses, version)
            if not peers:
                continue
            newest = max(self._speaking[address] for address in peers)
            peers = self._that_speak(peers, newest)
            seen = [
                address
                for address in peers
                if self.is_recently_seen(self._ids[address])
            ]
            chosen.append(self._rng.choice(seen or peers))
        return chosen

    def choose_peer_to_follow(self) -> str | None:
        """Return the address of a random peer to pull changes from.

        Peers of this VM's failure domain are preferred by `SAME_DOMAIN_RATIO`. None
        without a peer.
        """
        others = list(self._other_domains.values())
        if self._same_domain and (not others or self._rng.random() < SAME_DOMAIN_RATIO):
            return self._rng.choice(self._same_domain)
        return self._rng.choice(self._rng.choice(others)) if others else None

    def _update_members(self) -> None:
        members = self._view.members
        self._ids = {member.address: vm_id for vm_id, member in members.items()}
        self._last_seen = {k: at for k, at in self._last_seen.items() if k in members}
        self._speaking = {m.address: m.version for m in members.values()}
        self._sizes = Counter(m.failure_domain for m in members.values())
        self._same_domain = []
        self._other_domains = {}
        for vm_id, member in members.items():
            if vm_id == self.vm_id:
                continue
            if member.failure_domain == self.failure_domain:
                self._same_domain.append(member.address)
            else:
                self._other_domains.setdefault(member.failure_domain, []).append(
                    member.address
                )

    def _that_speak(self, addresses: list[str], version: int) -> list[str]:
        if version <= BASE_VERSION:
            return addresses
        return [each for each in addresses if self._speaking[each] >= version]
