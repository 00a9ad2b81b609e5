"""Keeps the fleet's requests to a cold target within what it tolerates."""

import random

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.limits.warmup_rules import WarmupRules, warmup_allowance
from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import TokenGrant, WarmupTokenRequest
from lacewingpond.entry.peers.protocol import LOADS_VERSION
from lacewingpond.entry.quota.admission import Admission
from lacewingpond.entry.quota.standby_shares import StandbyShares
from lacewingpond.entry.store_view import StoreView
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.util.clock import Clock

NO_BUCKET = "warmup-bound-too-small"
# A bucket is kept beyond the end of the warm-up, as VMs see that at different times.
KEEP_S = 5.0


class WarmupLimiter:
    """Takes a token for each request to a cold target of a service with a limit.

    Each incarnation of a cold target has one bucket for the whole fleet. A target
    without a token is passed over until one may be available.

    Parameters
    ----------
    rules : WarmupRules
        Bounds on the requests.
    table : TargetTable
        The targets.
    view : StoreView
        Source of the members, and of the rates that cold targets tolerate.
    fleet : Fleet
        Addresses of the members.
    channel : DatagramChannel
        Sends token requests and grants.
    clock : Clock
        Time source of the buckets.
    rng : random.Random
        Varies waits.
    """

    __slots__ = ("rules", "_table", "_view", "_shares", "_fleet", "_channel", "_clock")
    __slots__ += ("_exhausted", "_keep_until")

    def __init__(
        self,
        rules: WarmupRules,
        table: TargetTable,
        view: StoreView,
        fleet: Fleet,
        channel: DatagramChannel,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.rules = rules
        self._table = table
        self._view = view
        self._shares = StandbyShares(LOADS_VERSION, view, fleet, channel, clock, rng)
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._exhausted: dict[str, tuple[float, int]] = {}
        self._keep_until: dict[str, float] = {}
        view.on_members(self._shares.update_members)
        channel.register(WarmupTokenRequest, self._handle_token_request)

    def admit(self, target: EntryTarget) -> Admission:
        """Take a token if `target` is cold; return whether it may get a request."""
        rate = self._rate(target.service)
        if rate <= 0.0:
            return Admission(True)
        state = self._table.get(target.target_id)
        now = self._clock.now()
        left_s = state.warmup.left_s(now) if state is not None else 0.0
        if left_s <= 0.0:
            return Admission(True)
        name, bound = bucket_name(target), self.rules.bound(rate)
        allowance = warmup_allowance(name, rate, bound)
        if allowance is None:
            admission = Admission(False, NO_BUCKET, left_s)
        else:
            self._keep(name, left_s)
            admission = self._shares.take(
                allowance,
                lambda number: WarmupTokenRequest(
                    number, target.target_id, target.incarnation, rate, bound, left_s
                ),
            )
        if not admission.admitted:
            self._record_exhausted(target, admission.retry_after_s)
        return admission

    def exhausted(self, service: str) -> dict[str, float]:
        """Return the cold targets without a token now, with the seconds until one.

        Keys are target ids. A target that has become warm since is not among them, nor
        one in an evacuated failure domain, which gets no request after the wait.
        """
        waits_s: dict[str, float] = {}
        if not self._exhausted:
            return waits_s
        now = self._clock.now()
        for state in self._table.remaining(service):
            target_id = state.spec.target_id
            until, incarnation = self._exhausted.get(target_id, (now, 0))
            if (
                until <= now
                or incarnation != state.spec.incarnation
                or not self._is_cold(state, now)
            ):
                self._exhausted.pop(target_id, None)
            else:
                waits_s[target_id] = until - now
        return waits_s

    def cold(self, service: str) -> set[str]:
        """Return the ids of the targets of a service that need a token."""
        now = self._clock.now()
        ready = self._table.ready(service)
        return {s.spec.target_id for s in ready if self._is_cold(s, now)}

    def holds(self, target: EntryTarget) -> bool:
        """Return whether this VM holds the bucket of a target, not as its standby."""
        return self._shares.is_holder(bucket_name(target))

    def leave(self) -> None:
        """Stop holding buckets, so that other members take them over."""
        self._shares.leave()

    def _rate(self, service: str) -> float:
        """Return the rate that cold targets of a service tolerate, 0 without limit."""
        cfg = self._view.config
        found = cfg.services.get(service) if cfg is not None else None
        return found.warmup_rate if found is not None else 0.0

    def _is_cold(self, state: TargetState, now: float) -> bool:
        return state.warmup.left_s(now) > 0.0 and self._rate(state.spec.service) > 0.0

    def _record_exhausted(self, target: EntryTarget, wait_s: float) -> None:
        now, exhausted = self._clock.now(), self._exhausted
        if target.target_id not in exhausted:
            # Targets that were removed meanwhile are not looked at by `exhausted`.
            ended = [k for k, (until, _) in exhausted.items() if until <= now]
            for target_id in ended:
                del exhausted[target_id]
        exhausted[target.target_id] = (now + wait_s, target.incarnation)

    def _keep(self, name: str, left_s: float) -> None:
        """Keep a bucket while its target is cold, and drop those no longer needed."""
        now = self._clock.now()
        if name not in self._keep_until:
            kept = {k: until for k, until in self._keep_until.items() if until > now}
            self._keep_until = kept
            self._shares.keep_only({*kept, name})
        until = now + left_s + KEEP_S
        self._keep_until[name] = max(until, self._keep_until.get(name, until))

    def _handle_token_request(self, request: WarmupTokenRequest, sender: str) -> None:
        self._fleet.record_message(sender)
        state = self._table.get(request.target_id)
        known = state is not None and state.spec.incarnation == request.incarnation
        if known and state.warmup.is_shown_warm(self._clock.now()):
            self._channel.send(sender, TokenGrant(request.number, True, 0.0))
            return
        rate, bound = request.rate, request.bound
        own_rate = self._rate(state.spec.service) if state is not None else 0.0
        if own_rate > 0.0:
            rate, bound = own_rate, self.rules.bound(own_rate)
        name = _bucket_name(request.target_id, request.incarnation)
        allowance = warmup_allowance(name, rate, bound)
        if allowance is not None:
            self._keep(name, request.left_s)
        self._channel.send(sender, self._shares.grant(request.number, allowance))


def bucket_name(target: EntryTarget) -> str:
    """Return the name of the bucket of a target's incarnation."""
    return _bucket_name(target.target_id, target.incarnation)


def _bucket_name(target_id: str, incarnation: int) -> str:
    return f"cold/{target_id}/{incarnation}"
