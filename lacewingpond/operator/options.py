"""Options of the operators' API."""

from msgspec import Struct


class OperatorOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Where operators are served, and what they must present.

    Parameters
    ----------
    host, port : str, int
        Address to listen on, by IP number; port 0 takes a free one.
    token : str
        Sent by operators as ``Authorization: Bearer``; must not be empty.
    max_body_bytes : int
        Longest list of intents.
    """

    host: str = "127.0.0.1"
    port: int = 0
    token: str = ""
    max_body_bytes: int = 16_000_000
