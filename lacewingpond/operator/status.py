"""Queries the VMs of the fleet for their revisions."""

from gevent.pool import Pool

from lacewingpond.config.distributor import ConfigDistributor
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.messages import ConfigStatus, ConfigStatusQuery
from lacewingpond.config.options import ConfigOptions
from lacewingpond.membership.base import MembershipView
from lacewingpond.operator.documents import StatusView, VmStatus
from lacewingpond.peers.base import PeerChannel
from lacewingpond.store.base import VmRecord

CONCURRENT_QUERIES = 32


class FleetStatus:
    """Collects the status of each VM on demand; nothing is cached.

    Parameters
    ----------
    vm : VmRecord
        This VM.
    holder : ConfigHolder
        Current revision of this VM.
    distributor : ConfigDistributor
        Newest revision known to this VM, and its last contacts.
    channel : PeerChannel
        Carries the queries to the other VMs.
    membership : MembershipView
        The live VMs.
    options : ConfigOptions
        Timeout of a query.
    """

    __slots__ = (
        "_vm",
        "_holder",
        "_distributor",
        "_channel",
        "_membership",
        "_options",
    )

    def __init__(
        self,
        vm: VmRecord,
        holder: ConfigHolder,
        distributor: ConfigDistributor,
        channel: PeerChannel,
        membership: MembershipView,
        options: ConfigOptions,
    ) -> None:
        self._vm = vm
        self._holder = holder
        self._distributor = distributor
        self._channel = channel
        self._membership = membership
        self._options = options

    def read(self) -> StatusView:
        """Query all live VMs, `CONCURRENT_QUERIES` at a time, and return their status.

        A VM that does not respond is listed with the reason.
        """
        pool = Pool(CONCURRENT_QUERIES)
        others = pool.map(self._query, self._membership.live())
        vms = sorted([self._own_status(), *others], key=lambda status: status.vm_id)
        return StatusView(
            vm_id=self._vm.vm_id,
            revision=self._holder.revision,
            fleet_revision=self._distributor.fleet_revision(),
            vms=tuple(vms),
        )

    def _own_status(self) -> VmStatus:
        return VmStatus(
            self._vm.vm_id,
            self._vm.failure_domain,
            self._holder.revision,
            round(self._distributor.contacts.store_age_s(), 1),
            self._distributor.is_isolated(),
        )

    def _query(self, vm: VmRecord) -> VmStatus:
        timeout_s = self._options.status_timeout_s
        result = self._channel.call(vm.vm_id, ConfigStatusQuery(), timeout_s)
        if result.is_err():
            return VmStatus(vm.vm_id, vm.failure_domain, detail=result.err_value.detail)
        status = result.ok_value
        if not isinstance(status, ConfigStatus):
            return VmStatus(vm.vm_id, vm.failure_domain, detail="unexpected response")
        return VmStatus(
            vm.vm_id,
            vm.failure_domain,
            status.revision,
            round(status.store_age_s, 1),
            status.isolated,
        )
