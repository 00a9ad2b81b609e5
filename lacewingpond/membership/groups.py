"""Which VMs probe which, and which read the platform's list.

Every VM derives the same result from the same table.
"""

from bisect import bisect_right

from lacewingpond.membership.record import MemberRecord, MemberStatus
from lacewingpond.membership.table import MemberTable
from lacewingpond.util.rendezvous import ranked, score


class Groups:
    """Groups of VMs in a `MemberTable`, computed again only after it changes.

    Parameters
    ----------
    table : MemberTable
        The known VMs.
    vm_id, region, failure_domain : str
        Id, region and failure domain of this VM.
    readers_per_domain : int
        Number of VMs per failure domain that read the platform's list.
    """

    __slots__ = (
        "_table",
        "_vm_id",
        "_region",
        "_failure_domain",
        "_readers_per_domain",
        "_seen_change_count",
        "_live",
        "_local",
        "_remote",
        "_ring",
        "_readers",
        "_all_readers",
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
        self._seen_change_count = -1

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
        """Return the ids of the VMs of this failure domain that read the list."""
        self._update()
        return self._readers

    def all_readers(self) -> list[str]:
        """Return the ids of the VMs of all failure domains that read the list."""
        self._update()
        if self._all_readers is None:
            by_domain: dict[str, set[str]] = {self._failure_domain: {self._vm_id}}
            for record in self._live:
                by_domain.setdefault(record.failure_domain, set()).add(record.vm_id)
            self._all_readers = [
                vm_id
                for domain, ids in by_domain.items()
                for vm_id in self._choose_readers(domain, ids)
            ]
        return self._all_readers

    def successors(self, count: int) -> list[str]:
        """Return the ids of the `count` VMs after this one on the region's hash ring.

        VMs that are suspected or leaving stay on the ring.
        """
        self._update()
        ring = self._ring
        start = bisect_right(ring, (_ring_position(self._vm_id), self._vm_id))
        places = range(start, start + min(count + 1, len(ring)))
        following = [ring[place % len(ring)][1] for place in places]
        return [vm_id for vm_id in following if vm_id != self._vm_id][:count]

    def _update(self) -> None:
        if self._seen_change_count == self._table.change_count:
            return
        self._seen_change_count = self._table.change_count
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
            (_ring_position(r.vm_id), r.vm_id) for r in known if r.region == region
        )
        domain = self._failure_domain
        ids = {r.vm_id for r in self._live if r.failure_domain == domain}
        self._readers = self._choose_readers(domain, ids | {self._vm_id})
        self._all_readers: list[str] | None = None

    def _choose_readers(self, domain: str, ids: set[str]) -> list[str]:
        return ranked(f"reader/{domain}", ids)[: self._readers_per_domain]


def _ring_position(vm_id: str) -> int:
    return score("ring", vm_id)
