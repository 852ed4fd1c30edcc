"""Actions that components ask a driver to carry out."""

from dataclasses import dataclass, field
from typing import Any

from ._values import Answer, BackendServer, Endpoint, FlowPacket, Request, Version


@dataclass(frozen=True, slots=True)
class ForwardPacket:
    """Send a flow's datagram to a backend server."""

    server: BackendServer
    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class RelayPacket:
    """Send a flow's datagram to the peer that owns its record."""

    host_id: str
    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """Send a request to the incarnation that issued its run token."""

    endpoint: Endpoint
    request: Request


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to a backend server. `deadline` is in monotonic seconds."""

    server: BackendServer
    exchange_id: int
    request: Request
    deadline: float


@dataclass(frozen=True, slots=True)
class CancelDispatch:
    """Tell a backend server that the answer of an exchange is not wanted."""

    server: BackendServer
    exchange_id: int


@dataclass(frozen=True, slots=True)
class AcknowledgeRequest:
    """Tell the caller that the request arrived and its answer comes separately."""

    request: Request


@dataclass(frozen=True, slots=True)
class ReplyToCaller:
    """Send the final answer of a request."""

    request: Request
    answer: Answer


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a thrift message to a peer. `bulk` messages go over TCP."""

    endpoint: Endpoint
    message: Any
    bulk: bool = False


@dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Read a key of the platform, or wait for a revision above `after_revision`."""

    key: str
    after_revision: int | None = None


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Put a document in force: its exact bytes and its version."""

    version: Version
    content: bytes


@dataclass(frozen=True, slots=True)
class UseHostList:
    """Use a newer host list of the platform."""

    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The set or the states of known entry hosts changed."""


@dataclass(frozen=True, slots=True)
class AnnouncePause:
    """Hand `PauseDetected` to all components: a peer suspected this host.

    The monotonic clock of a frozen machine may stand still, so a pause can
    pass without a gap between two ticks.
    """


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter. `name` is one of the metrics in `observability`."""

    name: str
    reason: str = ""
    service: str = ""
    amount: float = 1


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write one log line."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)
    level: str = "info"


@dataclass(frozen=True, slots=True)
class DropPacket:
    """Drop a flow's datagram; `reason` is counted."""

    packet: FlowPacket
    reason: str
