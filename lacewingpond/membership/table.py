"""Table of the known VMs, with hashes that show where two tables differ."""

from collections.abc import Iterable

import xxhash

from lacewingpond.membership.record import MemberRecord, MemberStatus

BUCKET_COUNT = 64
"""Groups of records, each compared by one hash."""
HASH_BYTES = 4
HASH_MASK = (1 << 8 * HASH_BYTES) - 1


class MemberTable:
    """Records by VM id.

    Parameters
    ----------
    max_vms : int
        Most records that are kept; further VMs are ignored.

    Attributes
    ----------
    change_count : int
        Number of merges that changed a record.
    """

    __slots__ = (
        "change_count",
        "_records",
        "_buckets",
        "_hashes",
        "_gone_at",
        "_max_vms",
    )

    def __init__(self, max_vms: int) -> None:
        self.change_count = 0
        self._records: dict[str, MemberRecord] = {}
        # Dicts are used as sets whose order does not vary between runs.
        self._buckets: list[dict[str, None]] = [{} for _ in range(BUCKET_COUNT)]
        self._hashes = [0] * BUCKET_COUNT
        self._gone_at: dict[str, float] = {}
        self._max_vms = max_vms

    def __len__(self) -> int:
        return len(self._records)

    @property
    def listed(self) -> int:
        """Number of VMs that are not gone."""
        return len(self._records) - len(self._gone_at)

    def get(self, vm_id: str) -> MemberRecord | None:
        """Return the record of `vm_id`, or None."""
        return self._records.get(vm_id)

    def records(self) -> Iterable[MemberRecord]:
        """Return all records, those of VMs that are gone included."""
        return self._records.values()

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Store `record` if it is newer; return whether the table changed."""
        old = self._records.get(record.vm_id)
        if not record.replaces(old):
            return False
        if old is None and len(self._records) >= self._max_vms:
            return False
        self._toggle_hash(old)
        self._records[record.vm_id] = record
        self._buckets[_bucket(record.vm_id)][record.vm_id] = None
        self._toggle_hash(record)
        self._record_gone(record, now)
        self.change_count += 1
        return True

    def forget_gone(self, before: float) -> None:
        """Remove the VMs that became gone before a monotonic time in seconds."""
        for vm_id, gone_at in list(self._gone_at.items()):
            if gone_at >= before:
                break
            del self._gone_at[vm_id]
            del self._records[vm_id]
            self._buckets[_bucket(vm_id)].pop(vm_id, None)

    def digest(self) -> bytes:
        """Return the hashes of all buckets, which leave out VMs that are gone."""
        return b"".join(value.to_bytes(HASH_BYTES, "big") for value in self._hashes)

    def differing(self, digest: bytes) -> tuple[MemberRecord, ...]:
        """Return the records of all buckets whose hash differs from `digest`."""
        mine = self.digest()
        if digest == mine:
            return ()
        return tuple(
            self._records[vm_id]
            for index, bucket in enumerate(self._buckets)
            if _hash_at(mine, index) != _hash_at(digest, index)
            for vm_id in bucket
        )

    def _toggle_hash(self, record: MemberRecord | None) -> None:
        if record is not None and record.status is not MemberStatus.GONE:
            self._hashes[_bucket(record.vm_id)] ^= _record_hash(record)

    def _record_gone(self, record: MemberRecord, now: float) -> None:
        self._gone_at.pop(record.vm_id, None)
        if record.status is MemberStatus.GONE:
            self._gone_at[record.vm_id] = now


def _hash_at(digest: bytes, index: int) -> bytes:
    return digest[index * HASH_BYTES : (index + 1) * HASH_BYTES]


def _bucket(vm_id: str) -> int:
    return xxhash.xxh3_64_intdigest(vm_id.encode()) % BUCKET_COUNT


def _record_hash(record: MemberRecord) -> int:
    text = f"{record.vm_id}\x00{record.status:d}\x00{record.version}"
    return xxhash.xxh3_64_intdigest(text.encode()) & HASH_MASK
