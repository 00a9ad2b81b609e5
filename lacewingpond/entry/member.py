"""An entry daemon as it describes itself in the store."""

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.util.address import parse_address


class Member(Struct, frozen=True):
    """One daemon of the fleet.

    Parameters
    ----------
    address : str
        ``host:port`` for datagrams and streams of its peers.
    failure_domain : str
        Where it runs.
    """

    address: str
    failure_domain: str

    def encode(self) -> bytes:
        """Return the entry's value."""
        return msgspec.json.encode(self)


def decode_member(raw: bytes) -> Result[Member, str]:
    """Return the member that `raw` describes, or why it can't be read."""
    try:
        member = msgspec.json.decode(raw, type=Member)
        parse_address(member.address)
    except (msgspec.MsgspecError, ValueError) as exc:
        return Err(str(exc))
    return Ok(member)
