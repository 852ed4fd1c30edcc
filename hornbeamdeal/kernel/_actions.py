"""Actions that components return and the driver carries out."""

from dataclasses import dataclass

from ._endpoint import Endpoint
from ._entry_host import Version
from ._values import Answer, BackendServer, FlowPacket, Request


@dataclass(frozen=True, slots=True)
class ForwardPacket:
    """Send a flow's datagram to a backend server."""

    server: BackendServer
    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class RelayPacket:
    """Relay a flow's datagram to the peer that owns the flow's record."""

    host_id: str
    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """Relay a request to the issuer of its run token or to a home host."""

    endpoint: Endpoint
    request: Request


@dataclass(frozen=True, slots=True)
class DispatchRequest:
    """Send a request to a backend server.

    `deadline` is a monotonic time in seconds.
    """

    server: BackendServer
    exchange_id: int
    request: Request
    deadline: float


@dataclass(frozen=True, slots=True)
class CancelDispatchedRequest:
    """Tell a backend server that the answer to an exchange is no longer needed."""

    server: BackendServer
    exchange_id: int


@dataclass(frozen=True, slots=True)
class AcknowledgeRequest:
    """Acknowledge a request whose answer is sent later in a separate message."""

    request: Request


@dataclass(frozen=True, slots=True)
class ReplyToCaller:
    """Send the final answer to a request."""

    request: Request
    answer: Answer


@dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Read a key from the platform's key-value store.

    With `after_revision` of `epoch`, wait until the key has a greater revision or the
    platform is in another epoch. An epoch of 0 is unknown.
    """

    key: str
    after_revision: int | None = None
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Put a document in force, that is, make it the active configuration.

    `content` is the exact bytes of the document.
    """

    version: Version
    content: bytes


@dataclass(frozen=True, slots=True)
class ApplyHostList:
    """Start to use a newer host list from the platform."""

    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class DropPacket:
    """Drop a flow's datagram and count it under `reason`."""

    packet: FlowPacket
    reason: str
