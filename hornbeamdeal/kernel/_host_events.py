"""Events about a host and its peers."""

from dataclasses import dataclass
from typing import Any

from ._endpoint import Endpoint
from ._entry_host import Version


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """An authenticated message was received from a peer.

    `message` is a thrift struct.
    """

    host_id: str
    incarnation: int
    endpoint: Endpoint
    message: Any


@dataclass(frozen=True, slots=True)
class PauseDetected:
    """The process was paused for `seconds`, so its state may be stale."""

    seconds: float


@dataclass(frozen=True, slots=True)
class StopRequested:
    """An operator requested a graceful shutdown."""


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """A new document was put in force on this host."""

    version: Version
