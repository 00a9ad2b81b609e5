"""A daemon's own entry in the store."""

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.util.address import parse_address


class Member(Struct, frozen=True):
    """Daemon of the fleet, stored as JSON.

    Parameters
    ----------
    address : str
        ``host:port`` for datagrams and streams from peers.
    failure_domain : str
        Failure domain of its VM.
    relay : str
        ``host:port`` for requests that peers relay; empty if it accepts none.
    """

    address: str
    failure_domain: str
    relay: str = ""

    def encode(self) -> bytes:
        """Return the value of the store entry."""
        return msgspec.json.encode(self)


def decode_member(raw: bytes) -> Result[Member, str]:
    """Return the member encoded in `raw`, or why it can't be decoded."""
    try:
        member = msgspec.json.decode(raw, type=Member)
        parse_address(member.address)
        if member.relay:
            parse_address(member.relay)
    except (msgspec.MsgspecError, ValueError) as exc:
        return Err(str(exc))
    return Ok(member)
