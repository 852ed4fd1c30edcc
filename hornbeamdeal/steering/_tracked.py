"""Steering by flow handles, owners and flow records."""

from random import Random
from typing import Any

from hornbeamdeal.kernel import (
    BackendServer,
    Between,
    ClusterView,
    DropPacket,
    PacketReceived,
    PauseDetected,
    PeerMessageReceived,
    StopRequested,
    register_plugin,
    validate_parameters,
)
from hornbeamdeal.reachability import Reachability
from hornbeamdeal.wire import peer_types

from ._handles import HandleCodec
from ._handover import Outbox
from ._handover_tracker import HandoverTracker
from ._keys import digest_of
from ._ownership import Ownership
from ._packet_router import PacketRouter
from ._routes import Routes
from ._state import FlowState
from ._table import FlowTable
from ._table_scan import TableScan


class _KeysConstraint:
    """Constraint on handle keys: one or more, of a size that BLAKE2b accepts."""

    def allows(self, value: Any) -> bool:
        sizes = [len(key) for key in value if isinstance(key, bytes)]
        return len(sizes) == len(value) > 0 and all(16 <= s <= 64 for s in sizes)

    def describe(self) -> str:
        return "one or more keys of 16 to 64 bytes"


_CONSTRAINTS_BY_NAME = {
    "handle_keys": _KeysConstraint(),
    "recent_flows": Between(8, 1 << 24),
    "idle_seconds": Between(1, 3600),
    "opening_seconds": Between(1, 60),
    "settle_seconds": Between(0, 3),
    "patience_seconds": Between(0, 60),
    "refresh_seconds": Between(1, 3600),
    "record_seconds": Between(1, 30_000),
    "control_bytes_per_second": Between(1, 1e9),
    "control_burst_bytes": Between(1, 1e9),
}


@register_plugin("steering", "tracked")
class TrackedSteering:
    """Keeps each flow on its server while hosts and servers change.

    Parameters
    ----------
    handle_keys : tuple of bytes
        Secrets of the region; the first one creates handles, all are accepted.
    recent_flows : int
        Slots of the flow table, 12 bytes each.
    idle_seconds : float
        Time after its last packet for which an opaque flow counts as open.
    opening_seconds : float
        Time for which a repeated opening packet gets the same server.
    settle_seconds : float
        Longest wait for handovers if the old choice is a leaving server; also the
        time after which a joined host answers relays.
    patience_seconds : float
        Longest wait for handovers otherwise.
    refresh_seconds : float
        Interval at which hosts report the tracked flows in use to the owners.
    record_seconds : float
        Time after which an unused record is removed.
    control_bytes_per_second, control_burst_bytes : float
        Rate limit for sending records.
    random_state : int
        Seed of the starting points of the round robin and of the trials' jitter.
    """

    __slots__ = ("handle_keys", "recent_flows", "idle_seconds", "opening_seconds")
    __slots__ += ("settle_seconds", "patience_seconds", "refresh_seconds")
    __slots__ += ("record_seconds", "control_bytes_per_second", "random_state")
    __slots__ += ("control_burst_bytes", "state_", "scan_", "router_")
    __slots__ += ("reachability_",)

    def __init__(
        self,
        *,
        handle_keys: tuple[bytes, ...],
        recent_flows: int = 1 << 18,
        idle_seconds: float = 120.0,
        opening_seconds: float = 15.0,
        settle_seconds: float = 2.0,
        patience_seconds: float = 10.0,
        refresh_seconds: float = 60.0,
        record_seconds: float = 3600.0,
        control_bytes_per_second: float = 26_000.0,
        control_burst_bytes: float = 262_144.0,
        random_state: int = 0,
    ):
        self.handle_keys = handle_keys
        self.recent_flows = recent_flows
        self.idle_seconds = idle_seconds
        self.opening_seconds = opening_seconds
        self.settle_seconds = settle_seconds
        self.patience_seconds = patience_seconds
        self.refresh_seconds = refresh_seconds
        self.record_seconds = record_seconds
        self.control_bytes_per_second = control_bytes_per_second
        self.control_burst_bytes = control_burst_bytes
        self.random_state = random_state
        self.state_: FlowState | None = None

    def update(self, view: ClusterView, now: float) -> list[Any]:
        """Apply a new view of servers and hosts."""
        if self.state_ is None:
            self._start(now)
        sets_before = self.state_.routes.sets_by_service
        hosts_before = self.state_.ownership.future
        if self.state_.update(view, now):
            hosts_changed = self.state_.ownership.future is not hosts_before
            self.scan_.restart(hosts_changed, now)
        sets_by_service = self.state_.routes.sets_by_service
        if sets_by_service is not sets_before:
            servers = {name: s.servers for name, s in sets_by_service.items()}
            self.reachability_.update(view, servers)
        return self.router_.release(now)

    def handle(self, event: Any, now: float) -> list[Any]:
        """Process an event: route a packet, or store a peer's flow records."""
        if self.state_ is None:
            return _drop_unready(event)
        if isinstance(event, PacketReceived):
            return self.router_.steer(event.packet, now)
        if isinstance(event, PeerMessageReceived):
            return self._handle_peer_message(event, now)
        if isinstance(event, PauseDetected):
            self.reachability_.handle(event, now)
            return self.router_.handle_pause(event.seconds, now)
        if isinstance(event, StopRequested):
            return self.scan_.hand_over_all(now)
        return []

    def tick(self, now: float) -> list[Any]:
        """Hand over records, settle changes and release packets that are due."""
        state = self.state_
        if state is None:
            return []
        state.ownership.promote_joined(now)
        state.settle_due(now)
        self.router_.update_joining(now)
        actions = self.reachability_.tick(now) + self.router_.release(now)
        actions += state.send_due(now)
        return actions + self.scan_.advance(now) + state.pop_counters()

    def record_server_datagram(self, server_id: str) -> None:
        """Record that a server has sent a datagram."""
        if self.state_ is not None:
            self.reachability_.record_datagram(server_id)

    def make_handle(self, server: BackendServer, flow_token: bytes) -> bytes | None:
        """Return the handle for a server's answer, None before the first view."""
        if self.state_ is None:
            return None
        handles = self.router_.handles
        return handles.make(digest_of(server), server.service, flow_token)

    def explain(self, key: int, service: str) -> str:
        """Return one line with the server of a flow key on this host, and why."""
        history = self.state_ and self.state_.histories_by_service.get(service)
        if not history:
            return f"no service is called {service}"
        slot = self.state_.table.find(key)
        server = self.state_.server_at(slot) if slot >= 0 else None
        if server is not None and server.service == service:
            return f"{server.server_id} by a record of this host"
        if history.is_ambiguous(key):
            owner = self.state_.ownership.current.holders(key).owner
            return f"as host {owner} decides: earlier documents chose differently"
        return f"{history.current_set.choose_id(key)} by rendezvous choice"

    def _start(self, now: float) -> None:
        validate_parameters(self, _CONSTRAINTS_BY_NAME)
        routes = Routes()
        ownership = Ownership(self.settle_seconds)
        handovers = HandoverTracker(
            self.settle_seconds, self.patience_seconds, routes, ownership
        )
        half_budget = self.control_bytes_per_second / 2
        handover_outbox = Outbox(half_budget, self.control_burst_bytes / 2)
        reply_outbox = Outbox(half_budget, self.control_burst_bytes / 2)
        table = FlowTable(self.recent_flows)
        self.state_ = FlowState(
            routes, ownership, handovers, table, handover_outbox, reply_outbox
        )
        self.scan_ = TableScan(
            self.state_,
            self.idle_seconds,
            self.refresh_seconds,
            self.opening_seconds,
            record_seconds=self.record_seconds,
        )
        self.reachability_ = Reachability(random_state=self.random_state)
        self.router_ = PacketRouter(
            self.state_,
            HandleCodec(self.handle_keys),
            idle_seconds=self.idle_seconds,
            opening_seconds=self.opening_seconds,
            owned_seconds=self.idle_seconds + self.refresh_seconds,
            random=Random(self.random_state),
            reachability=self.reachability_,
        )
        self.router_.start_joining(now)

    def _handle_peer_message(self, event: PeerMessageReceived, now: float) -> list[Any]:
        actions: list[Any] = []
        if isinstance(event.message, peer_types.FlowRecords):
            actions = self.state_.receive_records(event, now)
        return actions + self.router_.handle_peer_message(event, now)


def _drop_unready(event: Any) -> list[Any]:
    if isinstance(event, PacketReceived):
        return [DropPacket(event.packet, "not_ready")]
    return []
