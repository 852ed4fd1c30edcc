"""IP address and port of a UDP or TCP endpoint."""

import socket
from typing import NamedTuple

MAXIMUM_PORT = 65_535
# First octets of addresses of one host (RFC 1122, 3.2.1.3; RFC 1112, 4): 0 is "this
# network"; from 224 on there are multicast, reserved and broadcast addresses.
MINIMUM_FIRST_OCTET = 1
MAXIMUM_FIRST_OCTET = 223


class Endpoint(NamedTuple):
    """An IP address and a UDP or TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def _check_port(port: int) -> int:
    """Return a port; raise ValueError if no packet can be sent to it."""
    if not 1 <= port <= MAXIMUM_PORT:
        raise ValueError(f"port {port} is not within 1 and {MAXIMUM_PORT}")
    return port


def parse_port(text: str) -> int:
    """Parse a port of ASCII digits; raise ValueError if it is none."""
    # `int` also takes signs, white space, underscores and digits of other scripts.
    if not (text.isascii() and text.isdecimal()):
        raise ValueError(f"port {text!r} is not of digits")
    return _check_port(int(text))


def check_endpoint(ip: str, port: int) -> Endpoint:
    """Return the endpoint; raise ValueError if it is no IP address and port.

    Sending to a name in place of an address would look it up and block.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    try:
        socket.inet_pton(family, ip)
    except OSError as error:
        raise ValueError(f"{ip!r} is not an IP address") from error
    return Endpoint(ip, _check_port(port))


def check_unicast_endpoint(ip: str, port: int) -> Endpoint:
    """Return the endpoint; raise ValueError if it is not an IPv4 host's."""
    # `ipaddress` is not used, as importing it would delay the start of nodes.
    try:
        first_octet = socket.inet_pton(socket.AF_INET, ip)[0]
    except OSError as error:
        raise ValueError(f"{ip!r} is not an IPv4 address") from error
    if not MINIMUM_FIRST_OCTET <= first_octet <= MAXIMUM_FIRST_OCTET:
        raise ValueError(f"{ip} is not the address of one host")
    return Endpoint(ip, _check_port(port))
