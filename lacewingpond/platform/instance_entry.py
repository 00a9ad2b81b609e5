"""Decodes the entries that targets write for themselves."""

from typing import Literal

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.util.address import parse_address
from lacewingpond.util.duration import parse_duration


class _InstanceEntry(Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    warmup_left: str = "0ms"
    # Start time in Unix milliseconds. It identifies the incarnation, so it is only
    # compared for equality.
    born: int = 0


def decode_instance(target_id: str, raw: bytes) -> Result[EntryTarget, str]:
    """Return the target that `raw` describes, or why it can't be decoded."""
    try:
        entry = msgspec.json.decode(raw, type=_InstanceEntry)
        parse_address(entry.address)
        if not target_id or entry.slots < 1:
            return Err("the entry has no id or no slots")
        return Ok(
            EntryTarget(
                target_id=target_id,
                service=entry.service,
                address=entry.address,
                failure_domain=entry.zone,
                slots=entry.slots,
                draining=entry.state == "draining",
                warmup_left_s=parse_duration(entry.warmup_left),
                incarnation=entry.born,
            )
        )
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Err(str(exc))
