"""Check of addresses of the form ``ip:port``."""

import re
from ipaddress import IPv4Address, IPv6Address

from bankrudder.world._ids import Address

MAX_PORT = 65535

_ADDRESS = re.compile(
    r"(?:(?P<v4>[0-9.]+)|\[(?P<v6>[0-9a-f:.]+)\]):(?P<port>[0-9]+)",
    re.ASCII | re.IGNORECASE,
)

_ALLOWED = "must be ip:port, such as 10.0.0.1:7000, without a host name"


def address_error(address: str) -> str:
    """Return why an address is not a valid ``ip:port``, empty if it is valid."""
    if address.count(":") > 1 and not address.startswith("["):
        return "must be [ip]:port for IP version 6"
    match = _ADDRESS.fullmatch(address)
    if match is None:
        return _ALLOWED
    try:
        if match["v4"] is not None:
            IPv4Address(match["v4"])
        else:
            IPv6Address(match["v6"])
    except ValueError:
        return _ALLOWED
    port = match["port"]
    if len(port) > len(str(MAX_PORT)) or not 0 < int(port) <= MAX_PORT:
        return f"the port must be from 1 to {MAX_PORT}"
    return ""


def host_and_port(address: Address) -> tuple[str, int]:
    """Return the host, without brackets, and the port of a valid address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
