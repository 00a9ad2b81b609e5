"""Options of the operators' API."""

from msgspec import Struct


class OperatorOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the operators' API.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 selects a free port.
    token : str
        Bearer token that operators present; must not be empty.
    max_body_bytes : int
        Maximum length of a request's body, in bytes.
    """

    host: str = "127.0.0.1"
    port: int = 0
    token: str = ""
    max_body_bytes: int = 16_000_000
