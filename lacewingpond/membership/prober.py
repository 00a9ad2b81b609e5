"""Finds VMs that don't answer by a fixed number of probes in each period."""

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
    """Probes the next VMs on the ring, directly and then through others.

    Parameters
    ----------
    options : MembershipOptions
        Numbers and timeouts.
    table, groups : MemberTable, Groups
        The known VMs.
    channel : PeerChannel
        Carries the probes.
    clock, rng : Clock, random.Random
        Time, and random choice of the helpers.
    """

    __slots__ = (
        "last_heard",
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
        self.last_heard = float("-inf")
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
            VMs that failed often enough in a row to be suspected.
        """
        observed = self._groups.successors(self._options.observed)
        failures = {vm_id: self._failures.get(vm_id, 0) for vm_id in observed}
        self._failures = failures
        for vm_id in observed:
            answered = self._direct(vm_id) or self._indirect(vm_id)
            if answered is not None:
                failures[vm_id] = 0 if answered else failures[vm_id] + 1
        limit = self._options.failures_to_suspect
        return [vm_id for vm_id, count in failures.items() if count >= limit]

    def is_reachable(self, vm_id: str) -> bool:
        """Return whether no recent call from here to `vm_id` failed."""
        until = self._unreachable_until.get(vm_id)
        return until is None or self._clock.now() >= until

    def note(self, vm_id: str, answered: bool) -> None:
        """Record whether `vm_id` answered a call."""
        now = self._clock.now()
        if answered:
            self.last_heard = now
            self._unreachable_until.pop(vm_id, None)
            return
        if len(self._unreachable_until) >= self._options.max_vms:
            self._unreachable_until.clear()
        self._unreachable_until[vm_id] = now + self._options.unreachable_s

    def _direct(self, vm_id: str) -> bool:
        record = self._table.get(vm_id)
        status = MemberStatus.LIVE if record is None else record.status
        version = 0 if record is None else record.version
        timeout_s = self._options.probe_timeout_s
        result = self._channel.call(vm_id, MemberProbe(status, version), timeout_s)
        answered = isinstance(result, Ok) and isinstance(
            result.ok_value, MemberProbeAck
        )
        self.note(vm_id, answered)
        return answered

    def _indirect(self, vm_id: str) -> bool | None:
        """Ask others; None when none of those asked could be heard."""
        others = [other for other in self._groups.local() if other != vm_id]
        if not others:
            return False
        helpers = self._rng.sample(others, min(self._options.helpers, len(others)))
        verdict = None
        for helper in helpers:
            timeout_s = 2 * self._options.probe_timeout_s
            result = self._channel.call(helper, MemberProbeFor(vm_id), timeout_s)
            if not isinstance(result, Ok):
                continue
            self.note(helper, True)
            if (
                isinstance(result.ok_value, MemberProbeForAck)
                and result.ok_value.answered
            ):
                return True
            verdict = False
        return verdict

    def _probe_for(self, sender: str, message: MemberProbeFor) -> MemberProbeForAck:
        self.note(sender, True)
        return MemberProbeForAck(self._direct(message.vm_id))
