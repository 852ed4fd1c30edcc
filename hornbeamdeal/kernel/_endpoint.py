"""IP address and port of a UDP or TCP endpoint."""

from typing import NamedTuple


class Endpoint(NamedTuple):
    """An IP address and a UDP or TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"
