"""A fleet whose platform, targets and daemons run as greenlets of one process."""

import os
import random

from lacewingpond.config.intents import Intent
from lacewingpond.daemon.context import DaemonContext
from lacewingpond.daemon.daemon import StandaloneDaemon
from lacewingpond.http.options import HttpOptions
from lacewingpond.limits.options import LimitOptions
from lacewingpond.membership.options import MembershipOptions
from lacewingpond.peers.options import PeerOptions
from lacewingpond.settings.model import (
    OperatorSettings,
    SecretSettings,
    Settings,
    StopSettings,
    VmSettings,
)
from lacewingpond.shards.options import ShardOptions
from lacewingpond.standin.options import StandinPlatformOptions, StandinTargetOptions
from lacewingpond.standin.platform import StandinPlatform
from lacewingpond.standin.target import StandinTarget
from lacewingpond.store.base import VmRecord
from lacewingpond.store.options import StoreOptions
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import Clock

SECRET_BYTES = 32
DOMAINS = ("bagmati-a", "bagmati-b", "bagmati-c")
QUICK_MEMBERSHIP = MembershipOptions(
    list_interval_s=0.3, probe_interval_s=0.3, pull_interval_s=0.5
)
QUICK_SHARDS = ShardOptions(
    shard_count=32, settle_s=0.5, step_s=0.2, refresh_s=0.5, pull_s=0.5
)
QUICK_STOP = StopSettings(balancer_notice_s=0.6, grace_s=10.0)


class LocalFleet:
    """Daemons, a stand-in platform and stand-in targets on loopback.

    The platform is started at once. The intervals of membership and shards are
    shorter than the defaults, so that the fleet settles within seconds.

    Parameters
    ----------
    clock : Clock
        Clock of all daemons and stand-ins.
    seed : int
        Seed of the daemons' random choices.
    limits : LimitOptions
        Options of the fleet-wide limits.

    Attributes
    ----------
    platform : StandinPlatform
        The store and the VM list.
    targets : dict of str to StandinTarget
        The targets by name.
    daemons : dict of str to StandaloneDaemon
        The daemons by VM id.
    logs : dict of str to RecordingDecisionLog
        The logs of all daemons by VM id, including stopped ones.
    """

    __slots__ = ("platform", "targets", "daemons", "logs", "clock", "_rng", "_secret")
    __slots__ += ("_limits",)

    def __init__(
        self, clock: Clock, seed: int, limits: LimitOptions | None = None
    ) -> None:
        self.clock = clock
        self._limits = limits or LimitOptions()
        self._rng = random.Random(seed)
        self._secret = os.urandom(SECRET_BYTES)
        self.platform = StandinPlatform.from_options(StandinPlatformOptions(), clock)
        self.targets: dict[str, StandinTarget] = {}
        self.daemons: dict[str, StandaloneDaemon] = {}
        self.logs: dict[str, RecordingDecisionLog] = {}
        self.platform.start()

    def add_target(self, name: str, **options: object) -> StandinTarget:
        """Start a target with the given `StandinTargetOptions` and return it."""
        target = StandinTarget.from_options(
            StandinTargetOptions(name=name, **options), self.clock
        )
        target.start()
        self.targets[name] = target
        return target

    def add_daemon(self, vm_id: str) -> StandaloneDaemon:
        """Start a daemon, add its VM to the platform's list and return the daemon.

        The failure domains are assigned in turn.
        """
        domain = DOMAINS[len(self.daemons) % len(DOMAINS)]
        self.logs[vm_id] = RecordingDecisionLog()
        context = DaemonContext(
            clock=self.clock,
            rng=random.Random(self._rng.random()),
            log=self.logs[vm_id],
            metrics=CountingMetrics(),
            fleet_secret=self._secret,
            operator_token=self._secret.hex().encode(),
        )
        daemon = StandaloneDaemon.from_settings(self._settings(vm_id, domain), context)
        self.daemons[vm_id] = daemon
        self.publish_vm_list()
        daemon.start()
        return daemon

    def publish_vm_list(self) -> None:
        """Set the platform's list to the VMs of all daemons."""
        self.platform.vms.set(
            tuple(
                VmRecord(vm_id, daemon.peer_address, daemon.failure_domain)
                for vm_id, daemon in self.daemons.items()
            )
        )

    def wait_until(self, condition, timeout_s: float) -> float | None:
        """Wait until `condition` holds.

        Returns
        -------
        float or None
            Seconds until it held; None if it did not hold within `timeout_s`.
        """
        started = self.clock.now()
        while self.clock.now() - started <= timeout_s:
            if condition():
                return self.clock.now() - started
            self.clock.sleep(0.02)
        return None

    def owns_all_shards(self) -> bool:
        """Return whether each shard has exactly one owner."""
        owned = [
            shard
            for daemon in self.daemons.values()
            for shard in daemon.fleet.shards.active_shards()
        ]
        return sorted(owned) == list(range(QUICK_SHARDS.shard_count))

    def apply_intents(self, vm_id: str, *intents: Intent) -> int:
        """Plan and confirm `intents` on one VM and return the new revision.

        Raises
        ------
        result.UnwrapError
            If the plan or its confirmation is refused.
        """
        service = self.daemons[vm_id].fleet.service
        planned = service.plan(intents).unwrap()
        return service.confirm(planned.plan_id).unwrap().revision

    def stop(self) -> None:
        """Close all daemons, without a planned stop, and stop the stand-ins."""
        for daemon in self.daemons.values():
            daemon.close()
        for target in self.targets.values():
            target.stop()
        self.platform.stop()

    def _settings(self, vm_id: str, domain: str) -> Settings:
        return Settings(
            vm=VmSettings(vm_id, domain),
            store=StoreOptions(address=self.platform.address),
            fleet_secret=SecretSettings(),
            operator_token=SecretSettings(),
            http=HttpOptions(port=0),
            limits=self._limits,
            membership=QUICK_MEMBERSHIP,
            operators=OperatorSettings(port=0),
            peers=PeerOptions(port=0),
            shards=QUICK_SHARDS,
            stop=QUICK_STOP,
        )
