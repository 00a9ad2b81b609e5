"""The platform's store keys and decoders, as the entry daemon needs them."""

from msgspec.structs import replace

from lacewingpond.entry.formats import Formats
from lacewingpond.platform.config_document import decode_config
from lacewingpond.platform.evacuation_value import decode_evacuation
from lacewingpond.platform.instance_entry import decode_instance, is_older_write
from lacewingpond.platform.names import (
    CONFIG_KEY,
    EVACUATIONS_PREFIX,
    LEAVING_HEADER,
    LIMIT_HEADER,
    MEMBERS_PREFIX,
    TARGETS_PREFIX,
    WARMUP_HEADER,
)
from lacewingpond.platform.target_statement import StatementDecoder
from lacewingpond.platform.warmup_header import WarmupDecoder


def is_same(key: str, old: bytes, new: bytes) -> bool:
    """Return whether two values of `key` are equivalent for the daemon.

    Targets rewrite their entries continually, mostly with an equivalent value.
    """
    if not key.startswith(TARGETS_PREFIX):
        return old == new
    decoded = [decode_instance(key, value) for value in (old, new)]
    if any(each.is_err() for each in decoded):
        return old == new
    # The remaining warm-up is counted down locally from the first value. Its end is a
    # change, because VMs that get only changes would otherwise compare the next
    # warm-up of the same start with the first one.
    before, after = (each.ok_value.warmup_left_s for each in decoded)
    if after > before or (after == 0.0 < before):
        return False
    first, second = (replace(each.ok_value, warmup_left_s=0.0) for each in decoded)
    return first == second


def is_older(key: str, value: bytes, other: bytes) -> bool:
    """Return whether `value` was written to `key` before `other`.

    Only targets state the order of their writes.
    """
    return key.startswith(TARGETS_PREFIX) and is_older_write(value, other)


FORMATS = Formats(
    config_key=CONFIG_KEY,
    targets_prefix=TARGETS_PREFIX,
    members_prefix=MEMBERS_PREFIX,
    decode_config=decode_config,
    decode_instance=decode_instance,
    is_same=is_same,
    is_older=is_older,
    decode_statement=StatementDecoder(LIMIT_HEADER, LEAVING_HEADER).decode,
    evacuations_prefix=EVACUATIONS_PREFIX,
    decode_evacuation=decode_evacuation,
    decode_warmup=WarmupDecoder(WARMUP_HEADER).decode,
)
