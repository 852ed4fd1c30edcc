"""Data types shared by all components."""

from dataclasses import dataclass, field
from enum import Enum

from ._endpoint import Endpoint
from ._entry_host import EntryHost, HostState, Version


class ServerState(Enum):
    """State of a backend server in the view of an entry host."""

    ACTIVE = "active"
    DRAINING = "draining"


class AddressKind(Enum):
    """Kind of traffic that callers send to a service address."""

    REQUESTS = "requests"
    FLOWS = "flows"


class DispatchOutcome(Enum):
    """Result of dispatching a request to a backend server."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


class AnswerStatus(Enum):
    """Final status of a request as reported to the caller."""

    OK = "ok"
    ERROR = "error"
    RUN_TOKEN_REQUIRED = "run_token_required"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    BAD_REQUEST = "bad_request"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server of one service.

    `weight` sets its share of the service's flows relative to the other servers.
    `slots` is the number of requests that it may run at once. `connections` is the
    limit of connections that the document states; no component of an entry host
    reads it.
    """

    server_id: str
    service: str
    endpoint: Endpoint
    zone: str
    weight: float = 1.0
    slots: int = 3
    connections: int = 2000
    state: ServerState = ServerState.ACTIVE


@dataclass(frozen=True, slots=True)
class ServiceAddress:
    """A service address that callers send to."""

    name: str
    service: str
    endpoint: Endpoint
    kind: AddressKind
    codec: str = "coap"


@dataclass(frozen=True, slots=True)
class WorkClass:
    """Rules for the requests below one path prefix.

    `deadline` is in seconds. `long` declares requests that run for long, such as
    uploads: the default admission opens only a share of the slots to them, and an
    attempt may take until the deadline.
    """

    name: str
    path: str
    deadline: float
    idempotent: bool
    long: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A service and its work classes, ordered by descending path length."""

    name: str
    work_classes: tuple[WorkClass, ...] = ()


@dataclass(frozen=True, slots=True)
class ClusterView:
    """Snapshot of the configuration and the known hosts that components act on."""

    own_id: str
    own_zone: str
    version: Version | None = None
    services_by_name: dict[str, Service] = field(default_factory=dict)
    servers_by_id: dict[str, BackendServer] = field(default_factory=dict)
    addresses_by_endpoint: dict[Endpoint, ServiceAddress] = field(default_factory=dict)
    hosts_by_id: dict[str, EntryHost] = field(default_factory=dict)

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the servers of a service, ordered by identifier."""
        servers = [s for s in self.servers_by_id.values() if s.service == service]
        return sorted(servers, key=lambda server: server.server_id)

    def live_hosts(self) -> list[EntryHost]:
        """Return the hosts that are alive or suspect, ordered by identifier."""
        live_states = (HostState.ALIVE, HostState.SUSPECT)
        hosts = [h for h in self.hosts_by_id.values() if h.state in live_states]
        return sorted(hosts, key=lambda host: host.host_id)


@dataclass(frozen=True, slots=True)
class FlowPacket:
    """One datagram of a flow.

    `opens_flow` is whether the datagram opens a flow, or None if the protocol does not
    say. `hops` is 0 if the datagram came from the fabric and rises when it is relayed.
    `relayed_by_host_id` is the host id of the peer that relayed the datagram, empty if
    it came from the fabric.
    """

    caller: Endpoint
    address: Endpoint
    payload: bytes
    opens_flow: bool | None = None
    flow_token: bytes = b""
    handle: bytes | None = None
    hops: int = 0
    relayed_by_host_id: str = ""


@dataclass(frozen=True, slots=True)
class Request:
    """A request from a caller.

    `token` is the CoAP token. `idempotent` follows from the method; the work class can
    also declare the request idempotent. `datagram` is the received payload, kept so
    that it can be relayed unchanged. `hops` is 0 if the request came from the fabric
    and rises when it is relayed. `relayed_by_endpoint` is the endpoint of the peer
    that relayed the request, or None.
    """

    caller: Endpoint
    address: Endpoint
    token: bytes
    message_id: int
    method: str
    path: str
    payload: bytes
    idempotent: bool
    confirmable: bool = True
    run_token: bytes | None = None
    datagram: bytes = b""
    hops: int = 0
    relayed_by_endpoint: Endpoint | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a caller. `retry_after` is in seconds."""

    status: AnswerStatus
    payload: bytes = b""
    reason: str = ""
    retry_after: float | None = None
    run_token: bytes | None = None
    code: str = ""


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """Result of a dispatched request, also of one that timed out.

    `code` is the name of the CoAP code that the server sent, empty if it sent no
    answer. `load` is the utilisation that the server reports, 0 to 1. `retry_after`
    is in seconds.
    """

    outcome: DispatchOutcome
    payload: bytes = b""
    code: str = ""
    reason: str = ""
    retry_after: float | None = None
    load: float | None = None
