"""Values of the keys by which operators evacuate failure domains."""

import msgspec
from result import Err, Ok, Result


def decode_evacuation(value: bytes) -> Result[None, str]:
    """Check a value, which is a JSON object without a field that matters here.

    Returns
    -------
    Result of None, str
        Why the value can't be decoded, if it can't.
    """
    try:
        msgspec.json.decode(value, type=dict[str, msgspec.Raw])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Err(str(exc))
    return Ok(None)
