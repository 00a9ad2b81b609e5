"""The other daemons: where they are and which of them were heard lately."""

import random

from lacewingpond.entry.world import World
from lacewingpond.util.clock import Clock

HEARD_S = 2.0  # a peer says something several times a second while it runs
NEAR_SHARE = 0.75  # of the questions without a known source; bytes between domains cost


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
    __slots__ += ("_ids", "_near", "_far")

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
        self._near: list[str] = []
        self._far: dict[str, list[str]] = {}
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
        return self._near

    def relays(self) -> list[str]:
        """Return one peer of each other failure domain, heard ones first."""
        chosen = []
        for peers in self._far.values():
            heard = [address for address in peers if self.is_heard(self._ids[address])]
            chosen.append(self._rng.choice(heard or peers))
        return chosen

    def pick_source(self) -> str | None:
        """Return the address of a peer to ask for news, a near one mostly."""
        far = list(self._far.values())
        if self._near and (not far or self._rng.random() < NEAR_SHARE):
            return self._rng.choice(self._near)
        return self._rng.choice(self._rng.choice(far)) if far else None

    def _take_members(self) -> None:
        members = self._world.members
        self._ids = {member.address: vm_id for vm_id, member in members.items()}
        self._heard = {k: at for k, at in self._heard.items() if k in members}
        self._near = []
        self._far = {}
        for vm_id, member in members.items():
            if vm_id == self.vm_id:
                continue
            if member.failure_domain == self.failure_domain:
                self._near.append(member.address)
            else:
                self._far.setdefault(member.failure_domain, []).append(member.address)
