"""Events that a driver passes to components."""

from dataclasses import dataclass

from ._endpoint import Endpoint
from ._values import FlowPacket, Request, ServerAnswer


@dataclass(frozen=True, slots=True)
class PacketReceived:
    """A datagram of a flow was received from the fabric or from a peer."""

    packet: FlowPacket


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request was received from the fabric or from a peer.

    `is_address_held` is set while the address is held down: this or another host may
    still map it to a service by an outdated document, so no new work may start.
    """

    request: Request
    is_address_held: bool = False


@dataclass(frozen=True, slots=True)
class CancelReceived:
    """A caller cancelled one of its requests."""

    caller: Endpoint
    address: Endpoint
    message_id: int


@dataclass(frozen=True, slots=True)
class ServerAnswerReceived:
    """A backend server answered an exchange."""

    server_id: str
    exchange_id: int
    answer: ServerAnswer


# Error of a watch that ended without a change.
UNCHANGED = "unchanged"


@dataclass(frozen=True, slots=True)
class PlatformReadCompleted:
    """A read or watch of a platform key completed.

    `revision` is the one that the platform assigned to the key in `epoch`, which rises
    when the platform is restored from an older copy. `error` is empty
    on success, and `value` is None where the key does not exist.
    """

    key: str
    value: bytes | None
    revision: int = 0
    error: str = ""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class HostListApplied:
    """A newer host list is in use.

    `revision` is the one that the list states of itself. `entry_endpoints` are the
    endpoints of all entry hosts in the list.
    """

    revision: int
    entry_endpoints: tuple[Endpoint, ...]
