"""A daemon's own entry in the store."""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct
from result import Err, Ok, Result

from lacewingpond.entry.peers.protocol import BASE_VERSION, LIMITS_VERSION
from lacewingpond.util.address import parse_address

MAX_VERSION = 2**31 - 1
MAX_ERROR_CHARS = 200


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
    speaks : int
        Version of the peer protocol that it speaks; 0 if its build does not say.
    """

    address: str
    failure_domain: str
    relay: str = ""
    speaks: Annotated[int, Meta(ge=0, le=MAX_VERSION)] = 0

    @property
    def version(self) -> int:
        """Version of the peer protocol that it speaks."""
        if self.speaks > 0:
            return self.speaks
        # The builds that relayed requests before entries had a version speak this one.
        return LIMITS_VERSION if self.relay else BASE_VERSION

    def encode(self) -> bytes:
        """Return the value of the store entry."""
        return msgspec.json.encode(self)


def decode_member(raw: bytes) -> Result[Member, str]:
    """Return the member encoded in `raw`, or why it can't be decoded.

    The reason has at most `MAX_ERROR_CHARS` characters.
    """
    try:
        member = msgspec.json.decode(raw, type=Member)
        parse_address(member.address)
        if member.relay:
            parse_address(member.relay)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Err(str(exc)[:MAX_ERROR_CHARS])
    return Ok(member)
