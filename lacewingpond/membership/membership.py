"""View of the fleet, built from the platform's list, probes and gossip."""

import random
from collections.abc import Callable

import gevent
from result import Ok

from lacewingpond.membership.gossip import Gossip
from lacewingpond.membership.groups import Groups
from lacewingpond.membership.messages import (
    MemberNews,
    MemberProbe,
    MemberProbeAck,
    MemberPull,
)
from lacewingpond.membership.options import MembershipOptions
from lacewingpond.membership.prober import Prober
from lacewingpond.membership.record import MemberRecord, MemberStatus
from lacewingpond.membership.table import MemberTable
from lacewingpond.membership.vm_list_reader import VmListReader
from lacewingpond.peers.base import PeerChannel
from lacewingpond.store.base import VmList, VmRecord
from lacewingpond.telemetry.decisions import DecisionLog
from lacewingpond.telemetry.metrics import Metrics
from lacewingpond.util.clock import Clock


class Membership:
    """View that this VM has of the other VMs; it may be out of date.

    It also serves as the address book of the peer channel.
    """

    __slots__ = (
        "_options",
        "_vm",
        "_channel",
        "_clock",
        "_rng",
        "_log",
        "_metrics",
        "_table",
        "_groups",
        "_vm_list_reader",
        "_prober",
        "_gossip",
        "_leaving",
        "_refuted_leaving",
        "_greenlets",
    )

    def __init__(
        self,
        options: MembershipOptions,
        vm: VmRecord,
        vm_list: VmList,
        channel: PeerChannel,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._options = options
        self._vm = vm
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._table = MemberTable(options.max_vms)
        self._groups = Groups(
            self._table,
            vm.vm_id,
            vm.region,
            vm.failure_domain,
            options.readers_per_domain,
        )
        self._vm_list_reader = VmListReader(options, vm_list, self._table, clock, rng)
        self._prober = Prober(options, self._table, self._groups, channel, clock, rng)
        self._gossip = Gossip(options, self._groups, channel, clock, rng)
        self._leaving = False
        self._refuted_leaving = False
        self._greenlets: list[gevent.Greenlet] = []
        channel.register(MemberProbe, self._on_probe)
        channel.register(MemberNews, self._on_news)
        channel.register(MemberPull, self._on_pull)

    @classmethod
    def from_options(
        cls,
        options: MembershipOptions,
        vm: VmRecord,
        vm_list: VmList,
        channel: PeerChannel,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> "Membership":
        """Create a membership that is not yet started.

        Parameters
        ----------
        options : MembershipOptions
            Intervals, timeouts and numbers of VMs.
        vm : VmRecord
            This VM.
        vm_list : VmList
            The platform's list.
        channel : PeerChannel
            Carries probes and gossip.
        clock, rng : Clock, random.Random
            Time and random numbers.
        log, metrics : DecisionLog, Metrics
            Decision log for status changes, and counters.
        """
        return cls(options, vm, vm_list, channel, clock, rng, log, metrics)

    def start(self) -> None:
        """Start to read the list, probe and pull at jittered intervals."""
        options = self._options
        loops = (
            (self.refresh_list, options.list_interval_s),
            (self.probe, options.probe_interval_s),
            (self.pull, options.pull_interval_s),
        )
        self._greenlets = [
            gevent.spawn(self._run_periodically, *loop) for loop in loops
        ]

    def stop(self) -> None:
        """Stop the background greenlets."""
        gevent.killall(self._greenlets)

    def live(self) -> tuple[VmRecord, ...]:
        """Return the other VMs that are listed, not leaving and not suspected."""
        return tuple(record.to_vm() for record in self._groups.live())

    def live_ids(self) -> list[str]:
        """Return the ids of the other live VMs of this region."""
        return self._groups.local()

    def is_reachable(self, vm_id: str) -> bool:
        """Return whether `vm_id` is listed and no recent call to it failed."""
        record = self._table.get(vm_id)
        gone = record is None or record.status is MemberStatus.GONE
        return not gone and self._prober.is_reachable(vm_id)

    def record_call(self, vm_id: str, responded: bool) -> None:
        """Record whether `vm_id` responded to a call that other code made."""
        self._prober.record_contact(vm_id, responded)

    def address(self, vm_id: str) -> str | None:
        """Return ``host:port`` of `vm_id`, or None when the VM is unknown."""
        record = self._table.get(vm_id)
        return None if record is None else record.address

    def has_peer_contact(self) -> bool:
        """Return whether any other VM responded or sent a message recently."""
        silent_s = self._clock.now() - self._prober.last_contact_at
        return silent_s <= self._options.hear_timeout_s

    def is_list_reader(self) -> bool:
        """Return whether this VM is one that reads the list for its failure domain."""
        return self._vm.vm_id in self._groups.readers()

    def is_listed(self, vm_id: str) -> bool:
        """Return whether `vm_id` is in the platform's list, as known here."""
        record = self._table.get(vm_id)
        return record is not None and record.status is not MemberStatus.GONE

    def listed_count(self) -> int:
        """Return the number of other VMs in the platform's list, as known here."""
        self_listed = self.is_listed(self._vm.vm_id)
        return self._table.listed - int(self_listed)

    def is_delisted(self) -> bool:
        """Return whether this VM was listed earlier and is not any more."""
        record = self._table.get(self._vm.vm_id)
        return record is not None and record.status is MemberStatus.GONE

    def list_age_s(self) -> float:
        """Return the age in seconds of the newest list that this VM knows."""
        return self._vm_list_reader.age_s()

    @property
    def list_reads(self) -> int:
        """Number of reads of the platform's list since the start."""
        return self._vm_list_reader.reads

    def announce_leaving(self) -> None:
        """Mark this VM as leaving and gossip it, so that it gets no new work."""
        self._leaving = True
        record = self._table.get(self._vm.vm_id) or MemberRecord.from_listed(self._vm)
        self._merge_and_publish(
            [record.with_status(MemberStatus.LEAVING)], "announced by this VM"
        )

    def refresh_list(self) -> None:
        """Read the platform's list if due for a reader, or if the known one is old."""
        due = self.is_list_reader() and self._vm_list_reader.read_due()
        if not due and not self._vm_list_reader.fallback_due():
            return
        result = self._vm_list_reader.read()
        if not isinstance(result, Ok):
            self._metrics.incr("membership.list_read_failed")
            return
        self._publish(result.ok_value, "read from the platform's list", None)
        self._table.forget_gone(self._clock.now() - self._options.tombstone_s)
        self._metrics.gauge("membership.known", len(self._table))

    def probe(self) -> None:
        """Run one round of probes, and mark VMs that failed too often as suspected."""
        suspects = []
        for vm_id in self._prober.round():
            record = self._table.get(vm_id)
            if record is not None and record.status is MemberStatus.LIVE:
                suspects.append(record.with_status(MemberStatus.SUSPECT))
        self._merge_and_publish(suspects, "no response to direct or indirect probes")

    def pull(self) -> None:
        """Pull the records that differ, if possible from a VM that reads the list."""
        readers = self._groups.readers()
        if self._vm.vm_id in readers:
            readers = self._groups.all_readers()
        readers = [vm_id for vm_id in readers if vm_id != self._vm.vm_id]
        candidates = readers or self._gossip.contacts()
        if not candidates:
            return
        vm_id = self._rng.choice(candidates)
        request = MemberPull(self._table.digest())
        result = self._channel.call(vm_id, request, 2 * self._options.probe_timeout_s)
        responded = isinstance(result, Ok) and isinstance(result.ok_value, MemberNews)
        self._prober.record_contact(vm_id, responded)
        if not responded:
            return
        self._merge(result.ok_value.records, "pulled")
        if result.ok_value.list_age_s is not None:
            self._vm_list_reader.record_relayed_list(result.ok_value.list_age_s)

    def _run_periodically(self, step: Callable[[], None], interval_s: float) -> None:
        while True:
            step()
            jitter = self._options.jitter
            self._clock.sleep(interval_s * self._rng.uniform(1 - jitter, 1 + jitter))

    def _on_probe(self, sender: str, message: MemberProbe) -> MemberProbeAck:
        self._prober.record_contact(sender, True)
        mine = self._table.get(self._vm.vm_id)
        if mine is not None and message.status is MemberStatus.SUSPECT:
            reported = _own_record_seen_by_peer(mine, message.status, message.version)
            self._merge((reported,), "reported by a peer's probe")
        return MemberProbeAck()

    def _on_news(self, sender: str, message: MemberNews) -> None:
        self._prober.record_contact(sender, True)
        changed = self._merge(message.records, "received by gossip")
        self._gossip.push(changed, sender)

    def _on_pull(self, sender: str, message: MemberPull) -> MemberNews:
        self._prober.record_contact(sender, True)
        age_s = self._vm_list_reader.age_s()
        known_age_s = age_s if age_s != float("inf") else None
        return MemberNews(self._table.differing(message.digest), known_age_s)

    def _merge(self, records: tuple[MemberRecord, ...], why: str) -> list[MemberRecord]:
        now = self._clock.now()
        changed = [record for record in records if self._table.merge(record, now)]
        for record in changed:
            self._log_change(record, why)
        self._refute()
        return changed

    def _merge_and_publish(self, records: list[MemberRecord], why: str) -> None:
        now = self._clock.now()
        changed = [record for record in records if self._table.merge(record, now)]
        self._publish(changed, why, None)

    def _publish(
        self, changed: list[MemberRecord], why: str, received_from: str | None
    ) -> None:
        for record in changed:
            self._log_change(record, why)
        self._gossip.push(changed, received_from)
        self._refute()

    def _refute(self) -> None:
        """Refute a wrong suspicion, or the leaving state of an earlier process."""
        mine = self._table.get(self._vm.vm_id)
        if mine is None:
            return
        suspected = mine.status is MemberStatus.SUSPECT
        stale = mine.status is MemberStatus.LEAVING and not self._leaving
        if not suspected and (not stale or self._refuted_leaving):
            return
        # Only once, as the platform itself may list this VM as leaving.
        self._refuted_leaving = self._refuted_leaving or stale
        status = MemberStatus.LEAVING if self._leaving else MemberStatus.LIVE
        self._merge_and_publish(
            [mine.with_status(status, raise_version=1)], "refuted by this VM"
        )

    def _log_change(self, record: MemberRecord, why: str) -> None:
        status = record.status.name.lower()
        self._log.decision("member", record.vm_id, why, status=status)


def _own_record_seen_by_peer(
    mine: MemberRecord, status: MemberStatus, version: int
) -> MemberRecord:
    """Return this VM's record with the status and version that a probe reports."""
    raised = version - mine.version
    return mine.with_status(status, raise_version=raised)
