"""Interface to a platform's keys and value formats."""

from collections.abc import Callable

from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.entry.model.entry_config import EntryConfig
from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.entry.model.target_statement import TargetStatement
from lacewingpond.http.headers import Headers


def _accept(value: bytes) -> Result[None, str]:
    return Ok(None)


def _states_no_order(key: str, value: bytes, other: bytes) -> bool:
    return False


def _no_warmup(headers: Headers) -> Result[float, str]:
    return Err("the platform states no warm-up")


class Formats(Struct, frozen=True):
    """Keys in the store and decoders of their values.

    Parameters
    ----------
    config_key : str
        Key of the whole configuration.
    targets_prefix, members_prefix : str
        Prefixes of the targets' and the daemons' entries; the id follows.
    decode_config : callable
        Decodes the configuration.
    decode_instance : callable
        Decodes a target's entry, from its id and value.
    is_same : callable
        Returns whether two values of a key are equivalent for the daemon.
    is_older : callable
        Takes a key and two of its values. Returns whether the first was written before
        the second, by an order that its writer states.
    decode_statement : callable
        Decodes what a response says of its target, from its status and headers.
    evacuations_prefix : str
        Prefix of the evacuation keys; the failure domain follows. Empty if the platform
        has none.
    decode_evacuation : callable
        Checks the value of an evacuation key.
    decode_warmup : callable
        Decodes from the headers of a health response for how long its target stays
        cold, in seconds, or returns why they don't tell it.
    """

    config_key: str
    targets_prefix: str
    members_prefix: str
    decode_config: Callable[[bytes], Result[EntryConfig, str]]
    decode_instance: Callable[[str, bytes], Result[EntryTarget, str]]
    is_same: Callable[[str, bytes, bytes], bool]
    decode_statement: Callable[[int, Headers], TargetStatement]
    is_older: Callable[[str, bytes, bytes], bool] = _states_no_order
    evacuations_prefix: str = ""
    decode_evacuation: Callable[[bytes], Result[None, str]] = _accept
    decode_warmup: Callable[[Headers], Result[float, str]] = _no_warmup
