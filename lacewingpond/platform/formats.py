"""The platform's keys and decoders in one place."""

from msgspec.structs import replace

from lacewingpond.entry.formats import Formats
from lacewingpond.platform.config_document import decode_config
from lacewingpond.platform.instance_entry import decode_instance
from lacewingpond.platform.names import CONFIG_KEY, MEMBERS_PREFIX, TARGETS_PREFIX


def is_same(key: str, old: bytes, new: bytes) -> bool:
    """Return whether two values of `key` mean the same; targets write all the time."""
    if not key.startswith(TARGETS_PREFIX):
        return old == new
    decoded = [decode_instance(key, value) for value in (old, new)]
    if any(each.is_err() for each in decoded):
        return old == new
    # The time that is left is counted down here from the first value.
    first, second = (replace(each.ok_value, warmup_left_s=0.0) for each in decoded)
    return first == second


FORMATS = Formats(
    config_key=CONFIG_KEY,
    targets_prefix=TARGETS_PREFIX,
    members_prefix=MEMBERS_PREFIX,
    decode_config=decode_config,
    decode_instance=decode_instance,
    is_same=is_same,
)
