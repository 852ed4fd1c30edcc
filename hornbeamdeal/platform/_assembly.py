"""Builds a node of the platform from its settings."""

import random
import socket
import time
from typing import TYPE_CHECKING

from hornbeamdeal.dsr import (
    Catalog,
    FlowTable,
    Forwarder,
    Journal,
    OutstandingRequests,
    PacketSender,
    ReadScheduler,
    ServerHealth,
    make_placement,
)
from hornbeamdeal.kernel import Clock, Endpoint

if TYPE_CHECKING:
    # Both load trio, which the start leaves for later.
    from hornbeamdeal.dsr import Node, Peering

from ._packets import EchoPacketCodec
from ._settings import NodeSettings
from ._store import StoreSource

PLACEMENT = "least_outstanding"
# The platform hands its machines no secret, so that the key of messages
# between nodes only tells them from other datagrams.
PEER_KEY_ID = 1
PEER_KEY = b"hornbeamdeal platform nodes"


# Steps of the time of day are some seconds; a host whose clock went back before
# it started again joins as if it had started this much later.
CLOCK_STEP_SECONDS = 10.0
# Time limit of a new connection to the store; a store that is there takes it in
# some milliseconds.
STORE_CONNECT_SECONDS = 0.5


def make_forwarder(
    settings: NodeSettings, packet_socket: socket.socket, journal: Journal
) -> Forwarder:
    """Build what forwards packets, the first thing that callers wait for."""
    random_state = random.getrandbits(32)
    outstanding = OutstandingRequests()
    placement = make_placement(
        PLACEMENT,
        outstanding=outstanding,
        zone=settings.zone,
        random_state=random_state,
    )
    return Forwarder(
        catalog=Catalog(flow_lifetime=settings.flow_lifetime_seconds),
        codec=EchoPacketCodec(caller_port=settings.packet_listen.port),
        server_health=ServerHealth(),
        flows=FlowTable(),
        journal=journal,
        outstanding=outstanding,
        placement=placement,
        transmit=PacketSender(packet_socket, journal),
        random_state=random_state,
    )


def make_node(
    settings: NodeSettings,
    packet_socket: socket.socket,
    forwarder: Forwarder,
    clock: Clock,
    journal: Journal,
) -> "Node":
    """Build the node without its peers, which are loaded later."""
    from hornbeamdeal.dsr import CatalogReader, Node
    from hornbeamdeal.wire import HttpClient

    client = HttpClient(endpoint=settings.store, connect_timeout=STORE_CONNECT_SECONDS)
    reader = CatalogReader(
        clock=clock,
        catalog=forwarder.catalog,
        read_scheduler=ReadScheduler(
            freshness=min(settings.config_apply_seconds, settings.drain_seconds),
            random_state=random.getrandbits(32),
        ),
        server_health=forwarder.server_health,
        journal=journal,
        source=StoreSource(client=client, journal=journal),
    )
    return Node(
        clock=clock,
        forwarder=forwarder,
        journal=journal,
        packet_socket=packet_socket,
        reader=reader,
    )


def make_peering(settings: NodeSettings, node: "Node") -> "Peering":
    """Build the messages between nodes; loads what only they need."""
    from hornbeamdeal.dsr import Peering, PeerSync
    from hornbeamdeal.kernel import EntryHost
    from hornbeamdeal.membership import Membership, generate_incarnation
    from hornbeamdeal.wire import PeerCodec

    listen = Endpoint(settings.ip, settings.peer_port)
    seeds = [Endpoint(ip, settings.peer_port) for ip in settings.seed_ips]

    def make_membership(rejoins: int) -> Membership:
        wall_seconds = time.time() + rejoins * CLOCK_STEP_SECONDS
        own = EntryHost(
            settings.host_id,
            generate_incarnation(wall_seconds),
            listen,
            settings.zone,
            link_mbps=settings.link_mbps,
        )
        return Membership(
            own=own,
            seeds=[seed for seed in seeds if seed != listen],
            random_state=random.getrandbits(32),
        )

    peer_sync = PeerSync(
        catalog=node.catalog,
        read_scheduler=node.read_scheduler,
        server_health=node.server_health,
        journal=node.journal,
        make_membership=make_membership,
        on_server_changes=node.reader.handle_server_changes,
    )
    codec = PeerCodec(
        host_id=settings.host_id,
        incarnation=peer_sync.membership.own.incarnation,
        keys_by_id={PEER_KEY_ID: PEER_KEY},
        sending_key_id=PEER_KEY_ID,
    )
    return Peering(
        clock=node.clock,
        codec=codec,
        peer_sync=peer_sync,
        journal=node.journal,
        listen=listen,
    )
