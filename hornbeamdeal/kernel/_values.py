"""Typed values that the decision code works on."""

from dataclasses import dataclass, field
from enum import Enum

from ._endpoint import Endpoint


class HostState(Enum):
    """State of an entry host as its peers see it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class ServerState(Enum):
    """State of a backend server in the view of one entry host."""

    ACTIVE = "active"
    DRAINING = "draining"


class AddressKind(Enum):
    """What callers send to a service address."""

    REQUESTS = "requests"
    FLOWS = "flows"


class Outcome(Enum):
    """How a dispatched request ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


class AnswerStatus(Enum):
    """Final status of a request as told to the caller."""

    OK = "ok"
    ERROR = "error"
    RUN_TOKEN_REQUIRED = "run_token_required"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    BAD_REQUEST = "bad_request"


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """Position of a document in the total order of all documents.

    The number comes from the operators; the digest is SHA-256 of the
    document's bytes and breaks ties between documents with one number.
    """

    number: int
    digest: bytes

    def __str__(self) -> str:
        return f"{self.number}-{self.digest.hex()[:12]}"


@dataclass(frozen=True, slots=True)
class EntryHost:
    """An entry host of the region. `incarnation` is drawn anew at each start.

    `link_mbps` is the bandwidth of its link, 0 where that is not known.
    """

    host_id: str
    incarnation: int
    endpoint: Endpoint
    zone: str
    state: HostState = HostState.ALIVE
    version: Version | None = None
    sequence: int = 0
    link_mbps: int = 0


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server of one service."""

    server_id: str
    service: str
    endpoint: Endpoint
    zone: str
    weight: float = 1.0
    slots: int = 3
    connections: int = 2000
    state: ServerState = ServerState.ACTIVE


@dataclass(frozen=True, slots=True)
class Address:
    """A service address that callers send to."""

    name: str
    service: str
    endpoint: Endpoint
    kind: AddressKind
    codec: str = "coap"


@dataclass(frozen=True, slots=True)
class WorkClass:
    """Rules for the requests of one path of a service. `deadline` is in seconds."""

    name: str
    path: str
    deadline: float
    idempotent: bool
    long: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A service with its work classes, the longest path prefix first."""

    name: str
    work_classes: tuple[WorkClass, ...] = ()


@dataclass(frozen=True, slots=True)
class View:
    """Everything a component may know of the world at one moment."""

    own_id: str
    own_zone: str
    version: Version | None = None
    services_by_name: dict[str, Service] = field(default_factory=dict)
    servers_by_id: dict[str, BackendServer] = field(default_factory=dict)
    addresses_by_endpoint: dict[Endpoint, Address] = field(default_factory=dict)
    hosts_by_id: dict[str, EntryHost] = field(default_factory=dict)

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the service's servers in order of their identifiers."""
        servers = [s for s in self.servers_by_id.values() if s.service == service]
        return sorted(servers, key=lambda server: server.server_id)

    def live_hosts(self) -> list[EntryHost]:
        """Return the hosts that are not dead or leaving, ordered by identifier."""
        usable = (HostState.ALIVE, HostState.SUSPECT)
        hosts = [h for h in self.hosts_by_id.values() if h.state in usable]
        return sorted(hosts, key=lambda host: host.host_id)


@dataclass(frozen=True, slots=True)
class FlowPacket:
    """One datagram of a flow.

    `opens` is True or False where the protocol tells whether the datagram
    opens a flow, and None where it does not. `relayed_by` is the peer that
    relayed the datagram, empty where it came from the fabric.
    """

    caller: Endpoint
    address: Endpoint
    payload: bytes
    opens: bool | None = None
    flow_token: bytes = b""
    handle: bytes | None = None
    hops: int = 0
    relayed_by: str = ""


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    `idempotent` is what the method tells; a work class may say more.
    `datagram` is the received payload, kept for relaying unchanged.
    `relayed_by` is the peer that relayed the request, if one did.
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
    relayed_by: Endpoint | None = None


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
    """An answer of a backend server. `load` is its busy share, 0 to 1."""

    outcome: Outcome
    payload: bytes = b""
    code: str = ""
    reason: str = ""
    retry_after: float | None = None
    load: float | None = None
