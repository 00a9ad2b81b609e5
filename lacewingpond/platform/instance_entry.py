"""Decodes the entries that targets write for themselves."""

from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType
from result import Err, Ok, Result

from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.util.address import parse_address
from lacewingpond.util.duration import parse_duration

MAX_SLOTS = 65_535
"""A target processes one request on a connection, and has no more ports for them."""
MAX_NAME_CHARS = 200
MAX_ERROR_CHARS = 200

_Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]


_Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class _InstanceEntry(Struct, rename="kebab"):
    service: _Name
    address: str
    zone: _Name
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    warmup_left: str = "0ms"
    # Start time in Unix milliseconds, which identifies the incarnation. Messages
    # between daemons have 64 bits for it.
    born: _Number = 0
    # Counts the writes of one incarnation.
    sequence: _Number | UnsetType = UNSET


class _WriteNumber(Struct, order=True):
    """Orders the writes of a target: by its start, and by their number since then."""

    born: _Number
    sequence: _Number


def decode_instance(target_id: str, raw: bytes) -> Result[EntryTarget, str]:
    """Return the target that `raw` describes, or why it can't be decoded.

    The reason has at most `MAX_ERROR_CHARS` characters.
    """
    # The id is sent in a header of each request.
    if not target_id or not target_id.isascii() or not target_id.isprintable():
        return Err("the id is empty or not printable")
    try:
        entry = msgspec.json.decode(raw, type=_InstanceEntry)
        _, port = parse_address(entry.address)
        if port == 0:
            return Err("the port is 0")
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
        return Err(str(exc)[:MAX_ERROR_CHARS])


def is_older_write(value: bytes, other: bytes) -> bool:
    """Return whether a target wrote `value` before `other`.

    False if one of them does not state its number, or the start of its writer: the
    numbers begin anew with each start.
    """
    try:
        return _decode_number(value) < _decode_number(other)
    except (msgspec.MsgspecError, RecursionError):
        return False


_decode_number = msgspec.json.Decoder(_WriteNumber).decode
