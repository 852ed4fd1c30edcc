"""Address of a UDP or TCP port."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Endpoint:
    """An IP address and a UDP or TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"
