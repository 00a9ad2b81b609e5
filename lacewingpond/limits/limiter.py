"""Fleet-wide rate limiter of the daemon.

A request is admitted with a token that this VM holds. All buckets and owners share
one timer greenlet, which runs while there is traffic.
"""

import gevent

from lacewingpond.config.model import Config
from lacewingpond.limits.admission import Admission, RefusalReason
from lacewingpond.limits.admission_log import AdmissionLog
from lacewingpond.limits.allowance import Allowance
from lacewingpond.limits.allowance_table import AllowanceTable
from lacewingpond.limits.bucket import (
    route_bucket,
    service_bucket,
    workspace_bucket,
)
from lacewingpond.limits.grant_client import GrantClient
from lacewingpond.limits.limit_table import LimitTable
from lacewingpond.limits.messages import GrantAnswer, GrantAsk, GrantReturn
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.slice_owner import SliceOwner
from lacewingpond.limits.token_returner import TokenReturner
from lacewingpond.limits.waiting_requests import WaitingRequests
from lacewingpond.peers.base import Message
from lacewingpond.shards.base import Ownership
from lacewingpond.shards.component_context import ComponentContext

CLEANUP_INTERVAL_S = 1.0
"""Period in which the state of idle buckets and slices is dropped."""
UNKNOWN_BUCKET_RETRY_S = 1.0
"""Retry time of a request that is refused as this VM does not know its bucket."""


class FleetLimiter:
    """Admits requests within the rates and bursts of the whole fleet.

    Parameters
    ----------
    options : LimitOptions
        Settings, equal on all VMs.
    ctx : ComponentContext
        Clock, peers, shards, log and metrics of this VM; counters are ``limits.*``.
    """

    name = "limits"

    __slots__ = ("_options", "_clock", "_channel", "_log", "_table", "_owner")
    __slots__ += (
        "_allowances",
        "_returner",
        "_grant_client",
        "_admissions",
        "_waiting",
    )
    __slots__ += ("_timer", "_cleaned_up_at")

    def __init__(self, options: LimitOptions, ctx: ComponentContext) -> None:
        count = ctx.shards.shard_count
        self._options = options
        self._clock = ctx.clock
        self._channel = ctx.channel
        self._log = ctx.log
        self._table = LimitTable(count, options)
        self._owner = SliceOwner(options, self._table, ctx.shards, ctx.clock)
        self._allowances = AllowanceTable(options, self._table, count, ctx.rng)
        self._returner = TokenReturner(
            ctx.vm_id,
            ctx.channel,
            ctx.shards,
            self._owner,
            self._allowances,
            ctx.metrics,
        )
        self._grant_client = GrantClient(
            options,
            ctx.vm_id,
            ctx.clock,
            ctx.channel,
            ctx.shards,
            self._owner,
            self._allowances,
            self._returner,
            ctx.rng.getrandbits(31),
            ctx.log,
            ctx.metrics,
        )
        self._admissions = AdmissionLog(ctx.log, ctx.metrics)
        self._waiting = WaitingRequests(
            options, ctx.clock, self._grant_client, self._admissions
        )
        self._timer: gevent.Greenlet | None = None
        self._cleaned_up_at = ctx.clock.now()

    @classmethod
    def from_options(
        cls, options: LimitOptions, ctx: ComponentContext
    ) -> "FleetLimiter":
        """Create a limiter and register its message handlers."""
        limiter = cls(options, ctx)
        ctx.channel.register(GrantAsk, limiter._on_grant_ask)
        ctx.channel.register(GrantAnswer, limiter._grant_client.on_answer)
        ctx.channel.register(GrantReturn, limiter._on_grant_return)
        return limiter

    def configure(self, cfg: Config) -> None:
        """Apply a configuration revision."""
        self._table.configure(cfg, self._clock.now())
        self._owner.apply_limits()
        self._allowances.apply_limits()

    def bucket_ids(
        self, workspace: str, route: str, service: str = ""
    ) -> tuple[str, ...]:
        """Return the ids of the buckets that limit a request.

        Parameters
        ----------
        workspace : str
            Workspace of the request's key; empty on open routes.
        route, service : str
            Names of the route and of its service.

        Returns
        -------
        tuple of str
            The workspace's bucket, even when it is unknown, and those of route and
            service as far as they are configured.
        """
        limits = (route_bucket(route), service_bucket(service))
        present = tuple(name for name in limits if name in self._table.buckets)
        if not workspace:
            return present
        return (workspace_bucket(workspace), *present)

    def admit(self, bucket_ids: tuple[str, ...]) -> Admission:
        """Take one token of each bucket, or none of any.

        Blocks for at most ``wait_s`` when this VM lacks a token.
        """
        now = self._clock.now()
        allowances: list[Allowance] = []
        for bucket_id in bucket_ids:
            allowance = self._allowances.find_or_create(bucket_id)
            if allowance is None:
                return self._refuse_unknown(bucket_id)
            allowance.record_demand(now)
            if self._is_exhausted(allowance, now):
                return self._admissions.refused_without_token(allowance, now)
            allowances.append(allowance)
        self._ensure_timer()
        if all(allowance.has_token(None, now) for allowance in allowances):
            return self._waiting.take(allowances, now)
        return self._waiting.admit(allowances, now)

    def release(self, shard: int) -> bytes:
        """Stop granting from `shard` and return the state for its new owner."""
        self._log.decision("limits-shard", str(shard), "released")
        return self._owner.release(shard)

    def acquire(self, ownership: Ownership, state: bytes | None) -> None:
        """Start granting from a shard, from the former owner's state if any."""
        why = "handed over" if state is not None else "taken over"
        self._log.decision("limits-shard", str(ownership.shard), why)
        self._owner.acquire(ownership, state)
        self._ensure_timer()

    @property
    def owner(self) -> SliceOwner:
        """The slices that this VM grants from."""
        return self._owner

    def _is_exhausted(self, allowance: Allowance, now: float) -> bool:
        if allowance.has_token(None, now):
            return False
        return allowance.is_exhausted_until(now + self._options.wait_s)

    def _refuse_unknown(self, bucket_id: str) -> Admission:
        return self._admissions.refused(
            bucket_id, RefusalReason.UNKNOWN_BUCKET, UNKNOWN_BUCKET_RETRY_S
        )

    def _on_grant_ask(self, vm_id: str, message: Message) -> None:
        self._ensure_timer()
        self._channel.send(vm_id, self._owner.grant(vm_id, message))

    def _on_grant_return(self, vm_id: str, message: Message) -> None:
        self._owner.return_tokens(vm_id, message)

    def _ensure_timer(self) -> None:
        if self._timer is None or self._timer.dead:
            self._timer = gevent.spawn(self._run_timer)

    def _run_timer(self) -> None:
        while self._has_work():
            self._clock.sleep(self._options.tick_s)
            self.tick()

    def _has_work(self) -> bool:
        if self._allowances or self._grant_client.has_pending():
            return True
        return self._owner.has_slices()

    def tick(self) -> None:
        """Handle due work: late answers, returns, waiting requests, idle buckets."""
        now = self._clock.now()
        self._grant_client.expire_late(now)
        self._returner.return_due(now)
        self._waiting.wake_all()
        if now - self._cleaned_up_at >= CLEANUP_INTERVAL_S:
            self._cleaned_up_at = now
            self._drop_idle(now)

    def _drop_idle(self, now: float) -> None:
        self._owner.drop_full()
        self._allowances.drop_idle(now)
        self._grant_client.drop_former_owners()
