"""The entry daemon: one on each VM, all of them equal."""

import gevent
from gevent.lock import Semaphore

from lacewingpond.daemon.availability import DaemonAvailability
from lacewingpond.daemon.fleet import FleetParts
from lacewingpond.daemon.operators import OperatorServer
from lacewingpond.daemon.surroundings import Surroundings
from lacewingpond.daemon.traffic import TrafficParts
from lacewingpond.settings.model import Settings

FINISH_POLL_S = 0.02


class Daemon:
    """One entry daemon.

    Attributes
    ----------
    fleet : FleetParts
        What it shares with the other VMs.
    traffic : TrafficParts
        What serves callers.
    operators : OperatorServer
        Serves operators.
    availability : DaemonAvailability
        What the balancer is told.
    """

    __slots__ = ("fleet", "traffic", "operators", "availability")
    __slots__ += ("_cfg", "_around", "_stopping")

    def __init__(self, cfg: Settings, around: Surroundings) -> None:
        self._cfg = cfg
        self._around = around
        self._stopping = Semaphore(1)
        self.fleet = FleetParts(cfg, around)
        self.availability = DaemonAvailability(
            has_learned=self.fleet.has_learned,
            isolated=self.fleet.spread.is_isolated,
        )
        self.traffic = TrafficParts(cfg, around, self.fleet, self.availability)
        self.operators = OperatorServer.from_settings(cfg, around, self.fleet)

    @classmethod
    def from_settings(cls, cfg: Settings, around: Surroundings) -> "Daemon":
        """Build a daemon; only its listener for peers is bound yet."""
        return cls(cfg, around)

    @property
    def vm_id(self) -> str:
        """Name of the VM in the platform's list."""
        return self._cfg.vm.id

    @property
    def caller_address(self) -> str:
        """``host:port`` for callers, once started."""
        return f"{self._cfg.http.host}:{self.traffic.server.port}"

    @property
    def failure_domain(self) -> str:
        """Where this VM runs."""
        return self._cfg.vm.failure_domain

    @property
    def operator_address(self) -> str:
        """``host:port`` for operators, once started."""
        return f"{self._cfg.operators.host}:{self.operators.port}"

    @property
    def peer_address(self) -> str:
        """``host:port`` for other VMs."""
        return f"{self._cfg.peers.host}:{self.fleet.channel.port}"

    def start(self) -> None:
        """Start everything; requests are refused until a configuration is here."""
        self.fleet.start()
        self.traffic.start()
        self.operators.start()

    def stop(self) -> int:
        """Stop as planned and return how many requests were cut.

        The balancer's check fails first, while requests are still taken; then no
        connection is accepted, shards are handed over while the last requests
        finish, and at the end everything is closed.
        """
        if not self._stopping.acquire(blocking=False):
            return 0
        stop = self._cfg.stop
        self.availability.stopping = True
        self._log("planned stop", "the balancer's check fails from now on")
        self._around.clock.sleep(stop.balancer_notice_s)
        self.fleet.membership.announce_leaving()
        self.traffic.server.stop_accepting()
        deadline = self._around.clock.now() + stop.grace_s
        hand_over = gevent.spawn(self.fleet.shards.hand_over_all, stop.grace_s)
        cut = self.traffic.server.drain(stop.grace_s)
        hand_over.join()
        cut += self._finish_keyed(deadline)
        self.close()
        self._log("planned stop", "ended", cut=cut)
        return cut

    def close(self) -> None:
        """Close everything at once."""
        self.operators.stop()
        self.traffic.stop()
        self.fleet.stop()

    def _finish_keyed(self, deadline: float) -> int:
        """Wait for what runs here for callers of other VMs; return what is cut."""
        clock, keyed = self._around.clock, self.traffic.keyed
        while keyed.running and clock.now() < deadline:
            clock.sleep(FINISH_POLL_S)
        return keyed.running

    def _log(self, what: str, why: str, **fields: object) -> None:
        self._around.log.decision(what, self.vm_id, why, **fields)
