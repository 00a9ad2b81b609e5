"""Keeps the fleet's requests to a target within its limits.

A limit is named by the target, or applies while the target is cold.
"""

import random

from lacewingpond.entry.fleet import Fleet
from lacewingpond.entry.limits.named_limits import Incarnation, NamedLimits
from lacewingpond.entry.limits.warmup_limiter import WarmupLimiter
from lacewingpond.entry.limits.warmup_rules import DEFAULT_RULES, WarmupRules
from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.entry.peers.channel import DatagramChannel
from lacewingpond.entry.peers.messages import LimitTokenRequest, TokenGrant
from lacewingpond.entry.peers.protocol import LIMITS_VERSION
from lacewingpond.entry.quota.admission import Admission
from lacewingpond.entry.quota.allowance import Allowance
from lacewingpond.entry.quota.token_shares import TokenShares
from lacewingpond.entry.store_view import StoreView
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.util.clock import Clock

MIN_RATE = 0.25  # requests per second; with none, the end of a limit goes unnoticed
BURST_S = 0.5  # of the limit that may be saved up, besides one request
MAX_TOKEN_REQUESTS = 2  # other targets serve the request sooner than a third try


class TargetLimiter:
    """Takes a token for each request to a target that names a limit or is cold.

    One token bucket serves the whole fleet. A target without a token is passed over
    until one may be available. Its bucket starts empty and has no standby, because
    two holders of the whole limit would exceed it. A target that is cold as well needs
    a token of both buckets, so that the smaller limit applies.

    Parameters
    ----------
    limits : NamedLimits
        The limits.
    table : TargetTable
        The targets.
    view : StoreView
        Source of the members.
    fleet : Fleet
        Addresses and failure domains of the members.
    channel : DatagramChannel
        Sends token requests and grants.
    clock : Clock
        Time source of the buckets.
    rng : random.Random
        Picks holders to ask and varies waits.
    warmup_rules : WarmupRules
        Bounds on the requests to cold targets.

    Attributes
    ----------
    limits : NamedLimits
        The limits.
    warmup : WarmupLimiter
        Limits the requests to cold targets.
    """

    __slots__ = (
        "limits",
        "warmup",
        "_table",
        "_shares",
        "_fleet",
        "_channel",
        "_clock",
        "_exhausted",
    )

    def __init__(
        self,
        limits: NamedLimits,
        table: TargetTable,
        view: StoreView,
        fleet: Fleet,
        channel: DatagramChannel,
        clock: Clock,
        rng: random.Random,
        warmup_rules: WarmupRules = DEFAULT_RULES,
    ) -> None:
        self.limits = limits
        self.warmup = WarmupLimiter(
            warmup_rules, table, view, fleet, channel, clock, rng
        )
        self._table = table
        self._shares = TokenShares(
            MAX_TOKEN_REQUESTS, LIMITS_VERSION, view, fleet, channel, clock, rng
        )
        self._fleet = fleet
        self._channel = channel
        self._clock = clock
        self._exhausted: dict[str, tuple[float, float]] = {}
        view.on_members(self._on_members_changed)
        channel.register(LimitTokenRequest, self._handle_token_request)

    def rate(self, target: EntryTarget) -> float | None:
        """Return the requests per second that a target accepts, None without limit."""
        limit = self.limits.get(target)
        return limit.rate if limit is not None else None

    def admit(self, target: EntryTarget) -> Admission:
        """Take a token for a request to `target`, and return whether there was one."""
        warmup = self.warmup.admit(target)
        limit = self.limits.get(target)
        if not warmup.admitted or limit is None or limit.rate is None:
            return warmup
        key = (target.target_id, target.incarnation)
        age_s = self._clock.now() - limit.observed_at
        admission = self._shares.take(
            self._allowance(key, limit.rate),
            lambda number: LimitTokenRequest(number, *key, limit.rate, age_s),
        )
        if not admission.admitted:
            until = self._clock.now() + admission.retry_after_s
            self._exhausted[target.target_id] = (until, limit.rate)
        return admission

    def exhausted(self, service: str) -> dict[str, float]:
        """Return the targets without a token now, with the seconds until one.

        Keys are target ids. A target whose limit has changed since is not among them,
        nor one in an evacuated failure domain, which gets no request after the wait.
        """
        waits_s = self.warmup.exhausted(service)
        if not self._exhausted:
            return waits_s
        now = self._clock.now()
        for state in self._table.remaining(service):
            target = state.spec
            until, rate = self._exhausted.get(target.target_id, (now, None))
            if until <= now or rate != self.rate(target):
                self._exhausted.pop(target.target_id, None)
            else:
                wait_s = max(waits_s.get(target.target_id, 0.0), until - now)
                waits_s[target.target_id] = wait_s
        return waits_s

    def limited(self, service: str) -> set[str]:
        """Return the ids of the targets of a service that name a limit or are cold."""
        targets = self._targets(service)
        named = {t.target_id for t in targets if self.rate(t) is not None}
        return named | self.warmup.cold(service)

    def leave(self) -> None:
        """Stop holding buckets, so that other members take them over."""
        self._shares.leave()
        self.warmup.leave()

    def _allowance(self, key: Incarnation, rate: float) -> Allowance:
        """Return the bucket of a target for the VMs that keep to its limit.

        Older builds do not, so the others leave them their part of it.
        """
        versions = self._fleet.versions()
        able = sum(n for version, n in versions.items() if version >= LIMITS_VERSION)
        part = able / max(versions.total(), 1) if able else 1.0
        return _allowance(key, rate * part)

    def _targets(self, service: str) -> list[EntryTarget]:
        return [state.spec for state in self._table.ready(service)]

    def _on_members_changed(self) -> None:
        self._shares.update_members()
        # Drops the buckets of targets that are gone.
        self._shares.keep_only({_bucket_name(key) for key in self.limits.named()})

    def _handle_token_request(self, request: LimitTokenRequest, sender: str) -> None:
        key = (request.target_id, request.incarnation)
        observed_at = self._clock.now() - request.age_s
        self.limits.record(key, request.rate, observed_at, f"peer {sender}")
        self._fleet.record_message(sender)
        limit = self.limits.known(key)
        if limit.rate is None:
            self._shares.drop(_bucket_name(key))
            grant = TokenGrant(request.number, True, 0.0)
        else:
            allowance = self._allowance(key, limit.rate)
            grant = self._shares.grant(request.number, allowance)
        self._channel.send(sender, grant)
        if limit.rate != request.rate:
            self._channel.send(sender, self.limits.notice(key, limit))


def _bucket_name(key: Incarnation) -> str:
    return f"{key[0]}/{key[1]}"


def _allowance(key: Incarnation, rate: float) -> Allowance:
    refill_rate = max(rate, MIN_RATE)
    return Allowance(_bucket_name(key), refill_rate, 1.0 + BURST_S * refill_rate)
