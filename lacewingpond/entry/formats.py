"""How a platform writes what the daemon reads from its store."""

from collections.abc import Callable

from msgspec import Struct
from result import Result

from lacewingpond.entry.model.fleet_config import FleetConfig
from lacewingpond.entry.model.instance import Instance


class Formats(Struct, frozen=True):
    """Keys of the store and decoders of their values.

    Parameters
    ----------
    config_key : str
        Holds the whole configuration.
    targets_prefix, members_prefix : str
        Below these stand the targets' and the daemons' entries, by id.
    decode_config : callable
        Decodes the configuration.
    decode_instance : callable
        Decodes the entry of the target with the given id.
    is_same : callable
        Whether two values of a key mean the same to the daemon.
    """

    config_key: str
    targets_prefix: str
    members_prefix: str
    decode_config: Callable[[bytes], Result[FleetConfig, str]]
    decode_instance: Callable[[str, bytes], Result[Instance, str]]
    is_same: Callable[[str, bytes, bytes], bool]
