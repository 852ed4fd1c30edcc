"""Events that a driver hands to components."""

from dataclasses import dataclass
from typing import Any

from ._values import Endpoint, FlowPacket, Request, ServerAnswer, Version


@dataclass(frozen=True, slots=True)
class PacketReceived:
    """A datagram of a flow came from the fabric or from a peer."""

    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request came from the fabric or from a peer.

    `is_held` tells that this host may know its address by an old document, so
    that nothing new may start.
    """

    request: Request
    is_held: bool = False


@dataclass(frozen=True, slots=True)
class CancelReceived:
    """A caller no longer wants the answer to one of its requests."""

    caller: Endpoint
    address: Endpoint
    message_id: int


@dataclass(frozen=True, slots=True)
class ServerAnswered:
    """A backend server answered an exchange."""

    server_id: str
    exchange_id: int
    answer: ServerAnswer


@dataclass(frozen=True, slots=True)
class PeerReceived:
    """An authenticated message came from a peer. `message` is a thrift struct."""

    host_id: str
    incarnation: int
    endpoint: Endpoint
    message: Any


@dataclass(frozen=True, slots=True)
class PlatformRead:
    """A read or watch of the platform ended.

    `revision` is the platform's own counter; `error` is empty on success and
    `value` is None where the key does not exist.
    """

    key: str
    value: bytes | None
    revision: int = 0
    error: str = ""


@dataclass(frozen=True, slots=True)
class PauseDetected:
    """The process did not run for `seconds`; its facts may be old."""

    seconds: float


@dataclass(frozen=True, slots=True)
class StopRequested:
    """An operator asked for a graceful shutdown."""


@dataclass(frozen=True, slots=True)
class HostListInUse:
    """A newer host list is in use; `entry_endpoints` are its entry hosts."""

    revision: int
    entry_endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """A new document is in force on this host."""

    version: Version
