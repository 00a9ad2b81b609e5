"""Addresses by IP number and port."""

import ipaddress


def parse_address(text: str) -> tuple[str, int]:
    """Split ``host:port`` with an IP number into its parts.

    Raises
    ------
    ValueError
        If `text` is no such address.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError("must be host:port")
    ipaddress.ip_address(host.strip("[]"))
    if int(port) > 65535:
        raise ValueError("port is above 65535")
    return host.strip("[]"), int(port)
