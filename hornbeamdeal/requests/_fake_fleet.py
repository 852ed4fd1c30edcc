"""Fake fleet of dispatchers for traces, tests and benchmarks."""

from dataclasses import replace
from typing import Any

from hornbeamdeal.kernel import (
    AddressKind,
    Answer,
    BackendServer,
    ClusterView,
    DispatchRequest,
    Endpoint,
    EntryHost,
    HostState,
    PeerMessageReceived,
    RelayRequest,
    ReplyToCaller,
    Request,
    RequestReceived,
    SendPeerMessage,
    Service,
    ServiceAddress,
    WorkClass,
    create_plugin,
)

from ._fake_admission import DirectAdmission

SERVICE = "reservas"
ADDRESS = Endpoint("10.1.0.1", 5683)
CALLER = Endpoint("10.9.0.1", 40000)
TOKEN_KEY = b"token key of thirty-two bytes..."
PEER_PORT = 7000
WORK_CLASSES = (
    WorkClass("bookings", "/bookings", 2.0, idempotent=False),
    WorkClass("photos", "/photos", 60.0, idempotent=False, long=True),
    WorkClass("map", "/map", 2.0, idempotent=True),
)


def make_servers() -> list[BackendServer]:
    """Return the servers of the fake service."""
    return [
        BackendServer(f"reservas-{n}", SERVICE, Endpoint("10.2.0.1", 8000 + n), "z")
        for n in (1, 2, 3)
    ]


def make_request(name: str, path: str = "/bookings", **fields: Any) -> Request:
    """Return a request with its name as CoAP token and datagram."""
    method = fields.pop("method", "POST")
    message_id = fields.pop("message_id", int.from_bytes(name.encode(), "big") % 65536)
    return Request(
        caller=fields.pop("caller", CALLER),
        address=fields.pop("address", ADDRESS),
        token=name.encode(),
        message_id=message_id,
        method=method,
        path=path,
        payload=fields.pop("payload", b""),
        idempotent=method in ("GET", "PUT", "DELETE"),
        datagram=name.encode(),
        **fields,
    )


class HostFleet:
    """Dispatchers whose peer messages are delivered without delay.

    `replies` and `dispatches` hold the hosts' messages to callers and servers in
    order, `actions` all their actions. A host without a dispatcher is down.
    """

    def __init__(self, incarnations_by_id: dict[str, int], *, plugin: str, limits=None):
        self.plugin = plugin
        self.limits = limits
        self.incarnations_by_id = dict(incarnations_by_id)
        self.states_by_id = dict.fromkeys(incarnations_by_id, HostState.ALIVE)
        self.dispatchers_by_id: dict[str, Any] = {}
        self.replies: list[tuple[Request, Answer]] = []
        self.dispatches: list[tuple[str, DispatchRequest]] = []
        self.actions: list[Any] = []
        for host_id in incarnations_by_id:
            self.start(host_id, incarnations_by_id[host_id], 0.0)

    def endpoint(self, host_id: str) -> Endpoint:
        """Return a host's endpoint, which stays the same over restarts."""
        number = list(self.incarnations_by_id).index(host_id) + 1
        return Endpoint(f"10.0.0.{number}", PEER_PORT)

    def start(self, host_id: str, incarnation: int, now: float) -> None:
        """Start a host with empty state."""
        self.incarnations_by_id[host_id] = incarnation
        self.dispatchers_by_id[host_id] = create_plugin(
            "requests",
            self.plugin,
            admission=DirectAdmission(make_servers()),
            host_id=host_id,
            incarnation=incarnation,
            endpoint=self.endpoint(host_id),
            token_key=TOKEN_KEY,
            limits=self.limits,
        )
        self.update(host_id, now)

    def kill(self, host_id: str) -> None:
        """Stop a host without notice; later messages to it are lost."""
        del self.dispatchers_by_id[host_id]

    def view(self, own_id: str) -> ClusterView:
        """Return the current view of one host."""
        hosts = {
            host_id: EntryHost(
                host_id,
                incarnation,
                self.endpoint(host_id),
                "z",
                self.states_by_id[host_id],
            )
            for host_id, incarnation in self.incarnations_by_id.items()
        }
        address = ServiceAddress(
            "reservas-requests", SERVICE, ADDRESS, AddressKind.REQUESTS
        )
        return ClusterView(
            own_id=own_id,
            own_zone="z",
            services_by_name={SERVICE: Service(SERVICE, WORK_CLASSES)},
            servers_by_id={server.server_id: server for server in make_servers()},
            addresses_by_endpoint={ADDRESS: address},
            hosts_by_id=hosts,
        )

    def update(self, host_id: str, now: float) -> None:
        """Update a host's dispatcher with its current view."""
        dispatcher = self.dispatchers_by_id[host_id]
        self.perform(host_id, dispatcher.update(self.view(host_id), now), now)

    def handle(self, host_id: str, event: Any, now: float) -> list[Any]:
        """Deliver an event to a host and return its actions; none if it is down."""
        if host_id not in self.dispatchers_by_id:
            return []
        actions = self.dispatchers_by_id[host_id].handle(event, now)
        self.perform(host_id, actions, now)
        return actions

    def tick(self, host_id: str, now: float) -> list[Any]:
        """Tick a host."""
        actions = self.dispatchers_by_id[host_id].tick(now)
        self.perform(host_id, actions, now)
        return actions

    def drain_queue(self, host_id: str, now: float, *, refuses: bool = False) -> None:
        """Start, or refuse, all waiting tickets of a host."""
        dispatcher = self.dispatchers_by_id[host_id]
        admission = dispatcher.admission
        admission.is_queueing = False
        decisions = admission.refuse_waiting() if refuses else admission.start_waiting()
        self.perform(host_id, dispatcher.attempts_.apply(decisions, now), now)

    def perform(self, host_id: str, actions: list[Any], now: float) -> None:
        """Record a host's actions and deliver its messages to peers."""
        self.actions += actions
        for action in actions:
            if isinstance(action, ReplyToCaller):
                self.replies.append((action.request, action.answer))
            elif isinstance(action, DispatchRequest):
                self.dispatches.append((host_id, action))
            elif isinstance(action, RelayRequest | SendPeerMessage):
                self._deliver(host_id, action, now)

    def _deliver(self, sender: str, action: RelayRequest | SendPeerMessage, now: float):
        for host_id in list(self.dispatchers_by_id):
            if self.endpoint(host_id) != action.endpoint:
                continue
            self.handle(host_id, self._peer_event(sender, action), now)

    def _peer_event(self, sender: str, action: RelayRequest | SendPeerMessage) -> Any:
        if isinstance(action, SendPeerMessage):
            incarnation = self.incarnations_by_id[sender]
            endpoint = self.endpoint(sender)
            return PeerMessageReceived(sender, incarnation, endpoint, action.message)
        sender_endpoint = self.endpoint(sender)
        return RequestReceived(
            replace(action.request, relayed_by_endpoint=sender_endpoint)
        )
