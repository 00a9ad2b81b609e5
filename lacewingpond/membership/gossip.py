"""Pushes membership changes by gossip; pulls elsewhere repair lost pushes."""

import random

from lacewingpond.membership.groups import Groups
from lacewingpond.membership.messages import MemberNews
from lacewingpond.membership.options import MembershipOptions
from lacewingpond.membership.record import MemberRecord
from lacewingpond.peers.base import PeerChannel
from lacewingpond.util.clock import Clock

MAX_RECORDS_PER_MESSAGE = 64


class Gossip:
    """Pushes records to random contacts, of which one is replaced at a time.

    Parameters
    ----------
    options : MembershipOptions
        Number of contacts, fanout and rotation period.
    groups : Groups
        Live VMs that contacts are chosen from.
    channel : PeerChannel
        Carries the records.
    clock, rng : Clock, random.Random
        Time, and random choice of the contacts.
    """

    __slots__ = (
        "_options",
        "_groups",
        "_channel",
        "_clock",
        "_rng",
        "_contacts",
        "_next_rotation_at",
    )

    def __init__(
        self,
        options: MembershipOptions,
        groups: Groups,
        channel: PeerChannel,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._options = options
        self._groups = groups
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._contacts: list[str] = []
        self._next_rotation_at = 0.0

    def push(
        self, records: list[MemberRecord], received_from: str | None = None
    ) -> None:
        """Send `records` to `fanout` random contacts, except `received_from`."""
        if not records:
            return
        contacts = [vm_id for vm_id in self.contacts() if vm_id != received_from]
        count = min(self._options.fanout, len(contacts))
        receivers = self._rng.sample(contacts, count)
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            part = tuple(records[start : start + MAX_RECORDS_PER_MESSAGE])
            for vm_id in receivers:
                self._channel.send(vm_id, MemberNews(part))

    def contacts(self) -> list[str]:
        """Return the current contacts; up to a quarter are in other regions."""
        local, remote = self._groups.local(), self._groups.remote()
        known = {*local, *remote}
        kept = [vm_id for vm_id in self._contacts if vm_id in known]
        if kept and self._clock.now() >= self._next_rotation_at:
            self._next_rotation_at = (
                self._clock.now() + self._options.contact_rotation_s
            )
            kept.pop(0)
        if len(kept) < min(self._options.contacts, len(known)):
            kept = self._refill(kept, local, remote)
        self._contacts = kept
        return kept

    def _refill(
        self, kept: list[str], local: list[str], remote: list[str]
    ) -> list[str]:
        remote_wanted = min(self._options.contacts // 4, len(remote))
        local_wanted = min(self._options.contacts - remote_wanted, len(local))
        for group, wanted in ((local, local_wanted), (remote, remote_wanted)):
            members = set(group)
            missing = wanted - sum(vm_id in members for vm_id in kept)
            free = [vm_id for vm_id in group if vm_id not in kept]
            kept = kept + self._rng.sample(free, min(max(missing, 0), len(free)))
        return kept
