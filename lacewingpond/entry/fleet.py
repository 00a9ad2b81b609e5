"""The other daemons: where they are and which of them were heard lately."""

import random

from lacewingpond.entry.world import World
from lacewingpond.util.clock import Clock

HEARD_S = 2.0  # a peer says something several times a second while it runs


class Fleet:
    """Peers by failure domain.

    Parameters
    ----------
    vm_id, failure_domain : str
        This VM.
    world : World
        Holds the members.
    clock : Clock
        Measures silence.
    rng : random.Random
        Draws peers.
    """

    __slots__ = ("vm_id", "failure_domain", "_world", "_clock", "_rng", "_heard")
    __slots__ += ("_ids",)

    def __init__(
        self,
        vm_id: str,
        failure_domain: str,
        world: World,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.vm_id = vm_id
        self.failure_domain = failure_domain
        self._world = world
        self._clock = clock
        self._rng = rng
        self._heard: dict[str, float] = {}
        self._ids: dict[str, str] = {}
        world.on_members(self._take_members)

    @property
    def size(self) -> int:
        """Daemons of the fleet, this one among them."""
        return max(len(self._world.members), 1)

    def heard(self, address: str) -> str | None:
        """Note a message from `address`; return the id of its sender if known."""
        vm_id = self._ids.get(address)
        if vm_id is not None:
            self._heard[vm_id] = self._clock.now()
        return vm_id

    def is_heard(self, vm_id: str) -> bool:
        """Return whether a peer said something lately."""
        at = self._heard.get(vm_id)
        return at is not None and self._clock.now() - at <= HEARD_S

    def address(self, vm_id: str) -> str | None:
        """Return where a peer listens."""
        member = self._world.members.get(vm_id)
        return member.address if member else None

    def is_near(self, vm_id: str) -> bool:
        """Return whether a peer runs in this failure domain."""
        member = self._world.members.get(vm_id)
        return member is not None and member.failure_domain == self.failure_domain

    def near(self) -> list[str]:
        """Return the addresses of the peers in this failure domain."""
        return [
            member.address
            for vm_id, member in self._world.members.items()
            if member.failure_domain == self.failure_domain and vm_id != self.vm_id
        ]

    def relays(self) -> list[str]:
        """Return one peer of each other failure domain, heard ones first."""
        domains: dict[str, list[str]] = {}
        for vm_id, member in self._world.members.items():
            if member.failure_domain != self.failure_domain:
                domains.setdefault(member.failure_domain, []).append(vm_id)
        chosen = []
        for ids in domains.values():
            heard = [vm_id for vm_id in ids if self.is_heard(vm_id)]
            chosen.append(self._world.members[self._rng.choice(heard or ids)].address)
        return chosen

    def pick_source(self, avoid: str | None) -> str | None:
        """Return the address of a peer to ask for news, near ones mostly."""
        near = [address for address in self.near() if address != avoid]
        far = [
            member.address
            for member in self._world.members.values()
            if member.failure_domain != self.failure_domain and member.address != avoid
        ]
        if near and (not far or self._rng.random() < NEAR_SHARE):
            return self._rng.choice(near)
        return self._rng.choice(far) if far else None

    def _take_members(self) -> None:
        members = self._world.members
        self._ids = {member.address: vm_id for vm_id, member in members.items()}
        self._heard = {k: at for k, at in self._heard.items() if k in members}


NEAR_SHARE = 0.75
"""Part of the questions without a known source that stay in the failure domain."""
