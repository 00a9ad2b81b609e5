"""Detects VMs that don't respond, with a fixed number of probes per round."""

import random

from result import Ok

from lacewingpond.membership.groups import Groups
from lacewingpond.membership.messages import (
    MemberProbe,
    MemberProbeAck,
    MemberProbeFor,
    MemberProbeForAck,
)
from lacewingpond.membership.options import MembershipOptions
from lacewingpond.membership.record import MemberStatus
from lacewingpond.membership.table import MemberTable
from lacewingpond.peers.base import PeerChannel
from lacewingpond.util.clock import Clock


class Prober:
    """Probes the next VMs on the ring, directly and then through other VMs.

    Parameters
    ----------
    options : MembershipOptions
        Numbers of VMs and timeouts.
    table, groups : MemberTable, Groups
        The known VMs.
    channel : PeerChannel
        Carries the probes.
    clock, rng : Clock, random.Random
        Time, and random choice of the helpers.

    Attributes
    ----------
    last_contact_at : float
        Time of the last response or message from any peer, on `clock`.
    """

    __slots__ = (
        "last_contact_at",
        "_options",
        "_table",
        "_groups",
        "_channel",
        "_clock",
        "_rng",
        "_failures",
        "_unreachable_until",
    )

    def __init__(
        self,
        options: MembershipOptions,
        table: MemberTable,
        groups: Groups,
        channel: PeerChannel,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.last_contact_at = float("-inf")
        self._options = options
        self._table = table
        self._groups = groups
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._failures: dict[str, int] = {}
        self._unreachable_until: dict[str, float] = {}
        channel.register(MemberProbeFor, self._probe_for)

    def round(self) -> list[str]:
        """Probe each observed VM once.

        Returns
        -------
        list of str
            Ids of VMs that failed in enough rounds in a row to be suspected.
        """
        observed = self._groups.successors(self._options.observed)
        failures = {vm_id: self._failures.get(vm_id, 0) for vm_id in observed}
        self._failures = failures
        for vm_id in observed:
            responded = self._probe_directly(vm_id) or self._probe_indirectly(vm_id)
            if responded is not None:
                failures[vm_id] = 0 if responded else failures[vm_id] + 1
        limit = self._options.failures_to_suspect
        return [vm_id for vm_id, count in failures.items() if count >= limit]

    def is_reachable(self, vm_id: str) -> bool:
        """Return whether no recent call from this VM to `vm_id` failed."""
        until = self._unreachable_until.get(vm_id)
        return until is None or self._clock.now() >= until

    def record_contact(self, vm_id: str, responded: bool) -> None:
        """Record that `vm_id` responded or sent a message, or that a call failed."""
        now = self._clock.now()
        if responded:
            self.last_contact_at = now
            self._unreachable_until.pop(vm_id, None)
            return
        if len(self._unreachable_until) >= self._options.max_vms:
            self._unreachable_until.clear()
        self._unreachable_until[vm_id] = now + self._options.unreachable_s

    def _probe_directly(self, vm_id: str) -> bool:
        record = self._table.get(vm_id)
        status = MemberStatus.LIVE if record is None else record.status
        version = 0 if record is None else record.version
        timeout_s = self._options.probe_timeout_s
        result = self._channel.call(vm_id, MemberProbe(status, version), timeout_s)
        responded = isinstance(result, Ok) and isinstance(
            result.ok_value, MemberProbeAck
        )
        self.record_contact(vm_id, responded)
        return responded

    def _probe_indirectly(self, vm_id: str) -> bool | None:
        """Return whether others reach `vm_id`; None when no helper responded."""
        others = [other for other in self._groups.local() if other != vm_id]
        if not others:
            return False
        helpers = self._rng.sample(others, min(self._options.helpers, len(others)))
        responded = None
        for helper in helpers:
            timeout_s = 2 * self._options.probe_timeout_s
            result = self._channel.call(helper, MemberProbeFor(vm_id), timeout_s)
            if not isinstance(result, Ok):
                continue
            self.record_contact(helper, True)
            if (
                isinstance(result.ok_value, MemberProbeForAck)
                and result.ok_value.answered
            ):
                return True
            responded = False
        return responded

    def _probe_for(self, sender: str, message: MemberProbeFor) -> MemberProbeForAck:
        self.record_contact(sender, True)
        return MemberProbeForAck(self._probe_directly(message.vm_id))
