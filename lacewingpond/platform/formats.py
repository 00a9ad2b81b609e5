"""The platform's keys and decoders in one place."""

from lacewingpond.entry.formats import Formats
from lacewingpond.platform.config_document import decode_config
from lacewingpond.platform.instance_entry import decode_instance
from lacewingpond.platform.names import CONFIG_KEY, MEMBERS_PREFIX, TARGETS_PREFIX

FORMATS = Formats(
    config_key=CONFIG_KEY,
    targets_prefix=TARGETS_PREFIX,
    members_prefix=MEMBERS_PREFIX,
    decode_config=decode_config,
    decode_instance=decode_instance,
)
