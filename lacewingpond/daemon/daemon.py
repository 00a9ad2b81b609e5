"""The standalone daemon; the daemons on all VMs have the same role."""

import gevent
from gevent.lock import Semaphore

from lacewingpond.daemon.availability import DaemonAvailability
from lacewingpond.daemon.context import DaemonContext
from lacewingpond.daemon.fleet import FleetComponents
from lacewingpond.daemon.operators import OperatorServer
from lacewingpond.daemon.traffic import TrafficComponents
from lacewingpond.settings.model import Settings

DRAIN_POLL_S = 0.02


class StandaloneDaemon:
    """A daemon with its own configuration, membership and shards.

    Parameters
    ----------
    cfg : Settings
        Settings of the daemon.
    context : DaemonContext
        Clock, random generator, log, metrics and secrets.

    Attributes
    ----------
    fleet : FleetComponents
        Components that communicate with the other VMs and the platform.
    traffic : TrafficComponents
        Components that serve callers.
    operators : OperatorServer
        Serves the operators' API.
    availability : DaemonAvailability
        Decides the response to the balancer's readiness check.
    """

    __slots__ = ("fleet", "traffic", "operators", "availability")
    __slots__ += ("_cfg", "_context", "_stopping")

    def __init__(self, cfg: Settings, context: DaemonContext) -> None:
        self._cfg = cfg
        self._context = context
        self._stopping = Semaphore(1)
        self.fleet = FleetComponents(cfg, context)
        self.availability = DaemonAvailability(
            is_initialized=self.fleet.is_initialized,
            isolated=self.fleet.distributor.is_isolated,
        )
        self.traffic = TrafficComponents(cfg, context, self.fleet, self.availability)
        self.operators = OperatorServer.from_settings(cfg, context, self.fleet)

    @classmethod
    def from_settings(cls, cfg: Settings, context: DaemonContext) -> "StandaloneDaemon":
        """Return a daemon that is not started; only its peer listener is bound.

        Raises
        ------
        OSError
            If the peer listener's address can't be bound.
        UserError
            If the operators' token is empty.
        """
        return cls(cfg, context)

    @property
    def vm_id(self) -> str:
        """Id of this VM in the platform's list."""
        return self._cfg.vm.id

    @property
    def caller_address(self) -> str:
        """``host:port`` of the listener for callers, once started."""
        return f"{self._cfg.http.host}:{self.traffic.server.port}"

    @property
    def failure_domain(self) -> str:
        """Failure domain of this VM."""
        return self._cfg.vm.failure_domain

    @property
    def operator_address(self) -> str:
        """``host:port`` of the operators' API, once started."""
        return f"{self._cfg.operators.host}:{self.operators.port}"

    @property
    def peer_address(self) -> str:
        """``host:port`` of the listener for other VMs."""
        return f"{self._cfg.peers.host}:{self.fleet.channel.port}"

    def start(self) -> None:
        """Start all components.

        Requests are refused until the first configuration has been received.
        """
        self.fleet.start()
        self.traffic.start()
        self.operators.start()

    def stop(self) -> int:
        """Run a planned stop and return how many requests were cut off.

        First the balancer's readiness check fails while requests are still accepted.
        Then new connections are refused, and shards are handed over while the
        running requests finish. Finally everything is closed. Further calls do
        nothing and return 0.
        """
        if not self._stopping.acquire(blocking=False):
            return 0
        stop = self._cfg.stop
        self.availability.stopping = True
        self._log("planned stop", "the balancer's readiness check fails from now on")
        self._context.clock.sleep(stop.balancer_notice_s)
        self.fleet.membership.announce_leaving()
        self.traffic.server.stop_accepting()
        deadline = self._context.clock.now() + stop.grace_s
        handover = gevent.spawn(self.fleet.shards.hand_over_all, stop.grace_s)
        cut = self.traffic.server.drain(stop.grace_s)
        handover.join()
        cut += self._drain_keyed(deadline)
        self.close()
        self._log("planned stop", "ended", cut=cut)
        return cut

    def close(self) -> None:
        """Close all components at once, without a handover."""
        self.operators.stop()
        self.traffic.stop()
        self.fleet.stop()

    def _drain_keyed(self, deadline: float) -> int:
        """Wait for requests with an idempotency key, which run here for other VMs too.

        Returns
        -------
        int
            Number of requests still running at `deadline`, which are cut off.
        """
        clock, idempotency = self._context.clock, self.traffic.idempotency
        while idempotency.running_count and clock.now() < deadline:
            clock.sleep(DRAIN_POLL_S)
        return idempotency.running_count

    def _log(self, what: str, why: str, **fields: object) -> None:
        self._context.log.decision(what, self.vm_id, why, **fields)
