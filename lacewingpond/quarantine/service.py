"""Finds requests that crash targets, fleet-wide, and refuses them for a time.

A crash ends the runs of innocent requests too. Each coincidence therefore
counts by the chance that an innocent run has it: the share of the service's
runs that end with a crash. Two coincidences convict while crashes are rare;
while many runs crash, for whatever reason, more are needed. A complete answer
clears a request.
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
from lacewingpond.shards.part_context import PartContext
from lacewingpond.util.rendezvous import shard_of


class QuarantineService:
    """Counts coincidences of requests and crashes, and keeps the refused requests.

    Parameters
    ----------
    options : QuarantineOptions
        Settings, equal on all VMs.
    ctx : PartContext
        The VM; its metrics get counters ``quarantine.*``.
    members : MembershipView
        VMs that are told of a new quarantine.
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
        "_shares",
        "_reported",
        "_suspects",
        "_until",
    )

    def __init__(
        self, options: QuarantineOptions, ctx: PartContext, members: MembershipView
    ) -> None:
        self._options = options
        self._vm_id = ctx.vm_id
        self._clock = ctx.clock
        self._channel = ctx.channel
        self._shards = ctx.shards
        self._members = members
        self._log = ctx.log
        self._metrics = ctx.metrics
        self._shares: dict[str, CrashShare] = {}
        self._reported: dict[str, float] = {}
        self._suspects: dict[int, dict[str, Suspect]] = {}
        self._until: dict[str, float] = {}

    @classmethod
    def from_options(
        cls, options: QuarantineOptions, ctx: PartContext, members: MembershipView
    ) -> "QuarantineService":
        """Create the service and let it take its messages."""
        service = cls(options, ctx, members)
        ctx.channel.register(CrashReport, service._on_report)
        ctx.channel.register(RunCompleted, service._on_completed)
        ctx.channel.register(QuarantineNotice, service._on_notice)
        return service

    def quarantined_s(self, fingerprint: str) -> float:
        """Return for how many seconds a request is still refused; 0 if it is not."""
        until = self._until.get(fingerprint)
        if until is None:
            return 0.0
        left_s = until - self._clock.now()
        if left_s <= 0.0:
            del self._until[fingerprint]
            return 0.0
        self._metrics.incr("quarantine.refused")
        return left_s

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a run of this request coincided with a crash here."""
        return fingerprint in self._reported

    def note_completed(self, fingerprint: str, service: str) -> None:
        """Count a run that ended with a complete answer."""
        self._share(service).note(False, self._clock.now())
        if self._reported.pop(fingerprint, None) is not None:
            shard = self._shard(fingerprint)
            self._send(shard, RunCompleted(shard, fingerprint))

    def note_crashed(self, fingerprint: str, service: str, target_id: str) -> None:
        """Count a run that ended with the crash of its target."""
        now = self._clock.now()
        share = self._share(service)
        # This crash itself says nothing of how often innocent runs meet one.
        usual = share.value()
        share.note(True, now)
        self._reported.pop(fingerprint, None)
        self._reported[fingerprint] = now
        _drop_oldest(self._reported, self._options.max_suspects)
        shard = self._shard(fingerprint)
        self._send(shard, CrashReport(shard, fingerprint, target_id, usual))

    def release(self, shard: int) -> bytes:
        """Forget the shard's suspects; their count starts again elsewhere."""
        self._suspects.pop(shard, None)
        return b""

    def adopt(self, ownership: Ownership, state: bytes | None) -> None:
        """Start counting for a shard."""
        self._suspects[ownership.shard] = {}

    def _share(self, service: str) -> CrashShare:
        share = self._shares.get(service)
        if share is None:
            share = CrashShare(self._options, self._clock.now())
            self._shares[service] = share
            _drop_oldest(self._shares, self._options.max_suspects)
        return share

    def _shard(self, fingerprint: str) -> int:
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
        if suspects is None or self._shards.owned(message.shard) is None:
            return
        now = self._clock.now()
        suspect = suspects.pop(message.fingerprint, None)
        if suspect is None or now - suspect.seen_at > self._options.suspect_s:
            suspect = Suspect(now)
        suspects[message.fingerprint] = suspect
        _drop_oldest(suspects, self._options.max_suspects)
        share = max(message.crash_share, self._options.min_crash_share)
        same_s = self._options.same_crash_s
        suspect.add(message.target_id, share, now, same_s)
        if suspect.chance <= self._options.max_chance * (1.0 + 1e-9):
            del suspects[message.fingerprint]
            self._convict(message.fingerprint)

    def _on_completed(self, _vm_id: str, message: Message) -> None:
        self._suspects.get(message.shard, {}).pop(message.fingerprint, None)

    def _convict(self, fingerprint: str) -> None:
        seconds = self._options.quarantine_s
        self._log.decision(
            "quarantine", fingerprint, "runs coincide with crashes", seconds=seconds
        )
        notice = QuarantineNotice(fingerprint, seconds)
        self._on_notice(self._vm_id, notice)
        for vm in self._members.live():
            if vm.vm_id != self._vm_id:
                self._channel.send(vm.vm_id, notice)

    def _on_notice(self, _vm_id: str, message: Message) -> None:
        seconds = min(max(message.seconds, 0.0), self._options.quarantine_s)
        self._until.pop(message.fingerprint, None)
        self._until[message.fingerprint] = self._clock.now() + seconds
        _drop_oldest(self._until, self._options.max_quarantined)
        self._metrics.incr("quarantine.started")


def _drop_oldest(table: dict[str, object], limit: int) -> None:
    while len(table) > limit:
        del table[next(iter(table))]
