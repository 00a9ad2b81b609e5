"""Which state must not go back when the store comes back from an older copy.

Operators and targets write again what the copy lacks; until then, what this daemon
knows to be newer holds on.
"""

from lacewingpond.entry.formats import Formats
from lacewingpond.entry.store_cache import HoldsOver


def holds_over(formats: Formats) -> HoldsOver:
    """Return the decision for keys in these formats.

    - A configuration holds against an older version, and against none.
    - A target that drains, or has gone, holds against an entry of the same incarnation
      that says otherwise.
    - A daemon that has left holds against its entry.

    All else is taken from the copy, also evacuations: one that was withdrawn holds
    again until its key is deleted again.
    """

    def decide(key: str, known: bytes, removed: bool, copied: bytes | None) -> bool:
        if key == formats.config_key:
            return not removed and _is_older_config(formats, copied, known)
        if copied is None:
            return False
        if key.startswith(formats.targets_prefix):
            target_id = key[len(formats.targets_prefix) :]
            return _is_older_target(formats, target_id, copied, known, removed)
        return removed and key.startswith(formats.members_prefix) and copied == known

    return decide


def _is_older_config(formats: Formats, copied: bytes | None, known: bytes) -> bool:
    current = formats.decode_config(known)
    if current.is_err():
        return False
    if copied is None:
        return True
    older = formats.decode_config(copied)
    return older.is_err() or older.ok_value.version < current.ok_value.version


def _is_older_target(
    formats: Formats, target_id: str, copied: bytes, known: bytes, removed: bool
) -> bool:
    before = formats.decode_instance(target_id, known)
    again = formats.decode_instance(target_id, copied)
    if before.is_err() or again.is_err():
        return False
    if before.ok_value.incarnation != again.ok_value.incarnation:
        return False
    return removed or before.ok_value.draining and not again.ok_value.draining
