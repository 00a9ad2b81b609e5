"""Who probes whom and who reads the list, derived alike on every VM."""

from bisect import bisect_right

from lacewingpond.membership.record import MemberRecord, MemberStatus
from lacewingpond.membership.table import MemberTable
from lacewingpond.util.rendezvous import ranked, score


class Groups:
    """Groups of VMs in a `MemberTable`, worked out again only when it changed.

    Parameters
    ----------
    table : MemberTable
        The known VMs.
    vm_id, region, failure_domain : str
        This VM.
    readers_per_domain : int
        VMs of each failure domain that read the list.
    """

    __slots__ = (
        "_table",
        "_vm_id",
        "_region",
        "_failure_domain",
        "_readers_per_domain",
        "_changes",
        "_live",
        "_local",
        "_remote",
        "_ring",
        "_readers",
    )

    def __init__(
        self,
        table: MemberTable,
        vm_id: str,
        region: str,
        failure_domain: str,
        readers_per_domain: int,
    ) -> None:
        self._table = table
        self._vm_id = vm_id
        self._region = region
        self._failure_domain = failure_domain
        self._readers_per_domain = readers_per_domain
        self._changes = -1

    def live(self) -> tuple[MemberRecord, ...]:
        """Return the other VMs that are live."""
        self._update()
        return self._live

    def local(self) -> list[str]:
        """Return the ids of the other live VMs of this region."""
        self._update()
        return self._local

    def remote(self) -> list[str]:
        """Return the ids of the live VMs of other regions."""
        self._update()
        return self._remote

    def readers(self) -> list[str]:
        """Return the VMs of this failure domain that read the list."""
        self._update()
        return self._readers

    def successors(self, count: int) -> list[str]:
        """Return the `count` VMs that follow this one on the region's ring.

        VMs that are suspected or leaving stay on the ring.
        """
        self._update()
        start = bisect_right(self._ring, (_position(self._vm_id), self._vm_id))
        following = self._ring[start:] + self._ring[:start]
        return [vm_id for _, vm_id in following if vm_id != self._vm_id][:count]

    def _update(self) -> None:
        if self._changes == self._table.changes:
            return
        self._changes = self._table.changes
        known = [
            record
            for record in self._table.records()
            if record.status is not MemberStatus.GONE
        ]
        self._live = tuple(
            record
            for record in known
            if record.status is MemberStatus.LIVE and record.vm_id != self._vm_id
        )
        region = self._region
        self._local = [r.vm_id for r in self._live if r.region == region]
        self._remote = [r.vm_id for r in self._live if r.region != region]
        self._ring = sorted(
            (_position(r.vm_id), r.vm_id) for r in known if r.region == region
        )
        self._readers = self._ranked_readers()

    def _ranked_readers(self) -> list[str]:
        domain = self._failure_domain
        ids = {r.vm_id for r in self._live if r.failure_domain == domain}
        best = ranked(f"reader/{domain}", ids | {self._vm_id})
        return best[: self._readers_per_domain]


def _position(vm_id: str) -> int:
    return score("ring", vm_id)
