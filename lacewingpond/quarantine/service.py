"""Detects requests that crash targets and refuses them on all VMs for a time.

A crash also ends the runs of harmless requests on the same target. Each crash
during a request's runs is therefore weighted by the probability that it happens
to a harmless run: the share of the service's runs that end with a crash. Two
crashes suffice for a quarantine while crashes are rare; while many runs crash,
for whatever reason, more are needed. A complete response clears a request.
"""

from lacewingpond.membership.base import MembershipView
from lacewingpond.peers.base import Message
from lacewingpond.quarantine.crash_share import CrashShare
from lacewingpond.quarantine.messages import (
    CrashReport,
    QuarantineNotice,
    RunCompleted,
)
from lacewingpond.quarantine.options import QuarantineOptions
from lacewingpond.quarantine.suspect import Suspect
from lacewingpond.shards.base import Ownership
from lacewingpond.shards.component_context import ComponentContext
from lacewingpond.util.rendezvous import shard_of


class QuarantineService:
    """Counts crashes during requests and stores the quarantined requests.

    Parameters
    ----------
    options : QuarantineOptions
        Settings, equal on all VMs.
    ctx : ComponentContext
        Clock, channel, shards, log and metrics of the VM; the counters are named
        ``quarantine.*``.
    members : MembershipView
        VMs that are notified of a new quarantine.
    """

    name = "quarantine"

    __slots__ = (
        "_options",
        "_vm_id",
        "_clock",
        "_channel",
        "_shards",
        "_members",
        "_log",
        "_metrics",
        "_crash_shares",
        "_reported_at",
        "_suspects",
        "_quarantined_until",
    )

    def __init__(
        self, options: QuarantineOptions, ctx: ComponentContext, members: MembershipView
    ) -> None:
        self._options = options
        self._vm_id = ctx.vm_id
        self._clock = ctx.clock
        self._channel = ctx.channel
        self._shards = ctx.shards
        self._members = members
        self._log = ctx.log
        self._metrics = ctx.metrics
        self._crash_shares: dict[str, CrashShare] = {}
        self._reported_at: dict[str, float] = {}
        self._suspects: dict[int, dict[str, Suspect]] = {}
        self._quarantined_until: dict[str, float] = {}

    @classmethod
    def from_options(
        cls, options: QuarantineOptions, ctx: ComponentContext, members: MembershipView
    ) -> "QuarantineService":
        """Return a service whose message handlers are registered with the channel."""
        service = cls(options, ctx, members)
        ctx.channel.register(CrashReport, service._on_report)
        ctx.channel.register(RunCompleted, service._on_completed)
        ctx.channel.register(QuarantineNotice, service._on_notice)
        return service

    def quarantined_s(self, fingerprint: str) -> float:
        """Return the remaining quarantine of a request in seconds; 0 if it has none.

        Above 0, counts a refused request in the metrics.
        """
        until = self._quarantined_until.get(fingerprint)
        if until is None:
            return 0.0
        left_s = until - self._clock.now()
        if left_s <= 0.0:
            del self._quarantined_until[fingerprint]
            return 0.0
        self._metrics.incr("quarantine.refused")
        return left_s

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a run of this request from this VM ended with a crash."""
        return fingerprint in self._reported_at

    def note_completed(self, fingerprint: str, service: str) -> None:
        """Count a run with a complete response; the request is no longer suspect.

        Informs the owner of its shard if this VM reported a crash of it. A quarantine
        that has begun continues.
        """
        self._crash_share(service).record_run(False, self._clock.now())
        if self._reported_at.pop(fingerprint, None) is not None:
            shard = self._shard_of(fingerprint)
            self._send(shard, RunCompleted(shard, fingerprint))

    def note_crashed(self, fingerprint: str, service: str, target_id: str) -> None:
        """Count a run that crashed its target; the request becomes a suspect.

        Reports the crash to the owner of its shard, which may quarantine the request.
        """
        now = self._clock.now()
        share = self._crash_share(service)
        # Excludes this crash, which says nothing about how often harmless runs end
        # with one.
        prior_share = share.value()
        share.record_run(True, now)
        self._reported_at.pop(fingerprint, None)
        self._reported_at[fingerprint] = now
        _drop_oldest(self._reported_at, self._options.max_suspects)
        shard = self._shard_of(fingerprint)
        self._send(shard, CrashReport(shard, fingerprint, target_id, prior_share))

    def release(self, shard: int) -> bytes:
        """Drop the shard's suspects; the next owner starts counting anew."""
        self._suspects.pop(shard, None)
        return b""

    def acquire(self, ownership: Ownership, state: bytes | None) -> None:
        """Start counting crashes for a shard."""
        self._suspects[ownership.shard] = {}

    def _crash_share(self, service: str) -> CrashShare:
        share = self._crash_shares.get(service)
        if share is None:
            share = CrashShare(self._options, self._clock.now())
            self._crash_shares[service] = share
            _drop_oldest(self._crash_shares, self._options.max_suspects)
        return share

    def _shard_of(self, fingerprint: str) -> int:
        return shard_of(fingerprint, self._shards.shard_count)

    def _send(self, shard: int, message: Message) -> None:
        owner = self._shards.owner(shard)
        if owner is None:
            return
        if owner.vm_id != self._vm_id:
            self._channel.send(owner.vm_id, message)
        elif isinstance(message, CrashReport):
            self._on_report(self._vm_id, message)
        else:
            self._on_completed(self._vm_id, message)

    def _on_report(self, _vm_id: str, message: Message) -> None:
        suspects = self._suspects.get(message.shard)
        if suspects is None or self._shards.active_ownership(message.shard) is None:
            return
        now = self._clock.now()
        suspect = suspects.pop(message.fingerprint, None)
        if suspect is None or now - suspect.last_seen_at > self._options.suspect_s:
            suspect = Suspect(now)
        suspects[message.fingerprint] = suspect
        _drop_oldest(suspects, self._options.max_suspects)
        share = max(message.crash_share, self._options.min_crash_share)
        same_s = self._options.same_crash_s
        suspect.add(message.target_id, share, now, same_s)
        if suspect.p_value <= self._options.max_chance * (1.0 + 1e-9):
            del suspects[message.fingerprint]
            self._quarantine(message.fingerprint)

    def _on_completed(self, _vm_id: str, message: Message) -> None:
        self._suspects.get(message.shard, {}).pop(message.fingerprint, None)

    def _quarantine(self, fingerprint: str) -> None:
        seconds = self._options.quarantine_s
        self._log.decision(
            "quarantine",
            fingerprint,
            "targets crashed during runs of this request",
            seconds=seconds,
        )
        notice = QuarantineNotice(fingerprint, seconds)
        self._on_notice(self._vm_id, notice)
        for vm in self._members.live():
            if vm.vm_id != self._vm_id:
                self._channel.send(vm.vm_id, notice)

    def _on_notice(self, _vm_id: str, message: Message) -> None:
        seconds = min(max(message.seconds, 0.0), self._options.quarantine_s)
        self._quarantined_until.pop(message.fingerprint, None)
        self._quarantined_until[message.fingerprint] = self._clock.now() + seconds
        _drop_oldest(self._quarantined_until, self._options.max_quarantined)
        self._metrics.incr("quarantine.started")


def _drop_oldest(table: dict[str, object], limit: int) -> None:
    while len(table) > limit:
        del table[next(iter(table))]
