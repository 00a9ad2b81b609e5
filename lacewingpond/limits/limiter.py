"""Fleet-wide limits as the daemon uses them.

Admission takes a token that this VM holds. No greenlet is needed for each bucket
or owner; one timer greenlet runs while there is traffic.
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
from lacewingpond.limits.grant_client import Asker
from lacewingpond.limits.limit_table import LimitTable
from lacewingpond.limits.messages import GrantAnswer, GrantAsk, GrantReturn
from lacewingpond.limits.options import LimitOptions
from lacewingpond.limits.slice_owner import SliceOwner
from lacewingpond.limits.token_returner import Returner
from lacewingpond.limits.waiting_requests import WaitingRequests
from lacewingpond.peers.base import Message
from lacewingpond.shards.base import Ownership
from lacewingpond.shards.part_context import PartContext

HOUSEKEEPING_S = 1.0
"""Period in which idle buckets and slices are forgotten."""
UNKNOWN_BUCKET_RETRY_S = 1.0
"""When a request may come again whose bucket this VM does not know."""


class FleetLimiter:
    """Admits requests within the rates and bursts of the whole fleet.

    Parameters
    ----------
    options : LimitOptions
        Settings, equal on all VMs.
    ctx : PartContext
        The VM; its metrics get counters ``limits.*``.
    """

    name = "limits"

    __slots__ = ("_options", "_clock", "_channel", "_log", "_table", "_owner")
    __slots__ += ("_allowances", "_returner", "_asker", "_admissions", "_waiting")
    __slots__ += ("_timer", "_housekept_at")

    def __init__(self, options: LimitOptions, ctx: PartContext) -> None:
        count = ctx.shards.shard_count
        self._options = options
        self._clock = ctx.clock
        self._channel = ctx.channel
        self._log = ctx.log
        self._table = LimitTable(count, options)
        self._owner = SliceOwner(options, self._table, ctx.shards, ctx.clock)
        self._allowances = AllowanceTable(options, self._table, count, ctx.rng)
        self._returner = Returner(
            ctx.vm_id,
            ctx.channel,
            ctx.shards,
            self._owner,
            self._allowances,
            ctx.metrics,
        )
        self._asker = Asker(
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
            options, ctx.clock, self._asker, self._admissions
        )
        self._timer: gevent.Greenlet | None = None
        self._housekept_at = ctx.clock.now()

    @classmethod
    def from_options(cls, options: LimitOptions, ctx: PartContext) -> "FleetLimiter":
        """Create a limiter and let it take its messages."""
        limiter = cls(options, ctx)
        ctx.channel.register(GrantAsk, limiter._on_ask)
        ctx.channel.register(GrantAnswer, limiter._asker.on_answer)
        ctx.channel.register(GrantReturn, limiter._on_return)
        return limiter

    def configure(self, cfg: Config) -> None:
        """Apply a revision of the configuration."""
        self._table.configure(cfg, self._clock.now())
        self._owner.apply_limits()
        self._allowances.apply_limits()

    def bucket_ids(
        self, workspace: str, route: str, service: str = ""
    ) -> tuple[str, ...]:
        """Return the buckets that a request must pass.

        Parameters
        ----------
        workspace : str
            Workspace of the request's key; empty on open routes.
        route, service : str
            Names of the route and of its service.
        """
        limits = (route_bucket(route), service_bucket(service))
        present = tuple(name for name in limits if name in self._table.buckets)
        if not workspace:
            return present
        return (workspace_bucket(workspace), *present)

    def admit(self, bucket_ids: tuple[str, ...]) -> Admission:
        """Take one token of each bucket, or none.

        Blocks for at most ``wait_s`` when this VM holds no token.
        """
        now = self._clock.now()
        allowances: list[Allowance] = []
        for bucket_id in bucket_ids:
            allowance = self._allowances.find_or_create(bucket_id)
            if allowance is None:
                return self._refuse_unknown(bucket_id)
            allowance.note_demand(now)
            if self._is_exhausted(allowance, now):
                return self._admissions.refused_without_token(allowance, now)
            allowances.append(allowance)
        self._ensure_timer()
        if all(allowance.has_token(None, now) for allowance in allowances):
            return self._waiting.take(allowances, now)
        return self._waiting.admit(allowances, now)

    def release(self, shard: int) -> bytes:
        """Stop granting from `shard` and return its state."""
        self._log.decision("limits-shard", str(shard), "released")
        return self._owner.release(shard)

    def adopt(self, ownership: Ownership, state: bytes | None) -> None:
        """Start granting from a shard."""
        why = "handed over" if state is not None else "taken over"
        self._log.decision("limits-shard", str(ownership.shard), why)
        self._owner.adopt(ownership, state)
        self._ensure_timer()

    @property
    def owner(self) -> SliceOwner:
        """The slices that this VM grants from."""
        return self._owner

    def _is_exhausted(self, allowance: Allowance, now: float) -> bool:
        if allowance.has_token(None, now):
            return False
        return allowance.is_out_of_reach(now + self._options.wait_s)

    def _refuse_unknown(self, bucket_id: str) -> Admission:
        return self._admissions.refused(
            bucket_id, RefusalReason.UNKNOWN_BUCKET, UNKNOWN_BUCKET_RETRY_S
        )

    def _on_ask(self, vm_id: str, message: Message) -> None:
        self._ensure_timer()
        self._channel.send(vm_id, self._owner.ask(vm_id, message))

    def _on_return(self, vm_id: str, message: Message) -> None:
        self._owner.take_back(vm_id, message)

    def _ensure_timer(self) -> None:
        if self._timer is None or self._timer.dead:
            self._timer = gevent.spawn(self._run_timer)

    def _run_timer(self) -> None:
        while self._has_work():
            self._clock.sleep(self._options.tick_s)
            self.tick()

    def _has_work(self) -> bool:
        if self._allowances or self._asker.has_unanswered():
            return True
        return self._owner.has_slices()

    def tick(self) -> None:
        """Do what is due: late asks, waiting requests, returns, idle buckets."""
        now = self._clock.now()
        self._asker.expire(now)
        self._returner.return_due(now)
        self._waiting.wake_all()
        if now - self._housekept_at >= HOUSEKEEPING_S:
            self._housekept_at = now
            self._forget_idle(now)

    def _forget_idle(self, now: float) -> None:
        self._owner.drop_idle()
        self._allowances.drop_idle(now)
        self._asker.forget_former_owners()
