"""Network addresses: IP address and port."""

import ipaddress


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of ``host:port``.

    Brackets around an IPv6 address are removed.

    Raises
    ------
    ValueError
        If `text` is not an IP address and a port.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError("must be host:port, with an IP address as host")
    ipaddress.ip_address(host.strip("[]"))
    if int(port) > 65535:
        raise ValueError("port is above 65535")
    return host.strip("[]"), int(port)
