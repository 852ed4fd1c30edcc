"""Builds the components of a node from its settings."""

import random
import socket
import time
from typing import TYPE_CHECKING

from hornbeamdeal.dsr import (
    AnswerTimes,
    Catalog,
    Eligibility,
    FlowTable,
    Forwarder,
    Journal,
    LinkQueue,
    OutstandingRequests,
    OverloadAdmission,
    PacketSender,
    ReadScheduler,
    ServerHealth,
    ServerSpeeds,
    SlowStart,
    ZoneSpill,
    make_placement,
)
from hornbeamdeal.kernel import Clock, Endpoint

if TYPE_CHECKING:
    # Both import trio, which is deferred until packets are forwarded.
    from hornbeamdeal.dsr import Node, Peering

from ._packets import EchoPacketCodec
from ._settings import NodeSettings
from ._store import StoreSource

PLACEMENT = "expected_wait"
# The platform provides no secret to its machines, so this key only distinguishes
# messages between nodes from other datagrams.
PEER_KEY_ID = 1
PEER_KEY = b"hornbeamdeal platform nodes"
# The incarnation derives from the wall clock. A host whose clock was set back before
# a restart, typically by some seconds, advances it by this much on each rejoin.
REJOIN_CLOCK_ADVANCE_SECONDS = 10.0
# A reachable store accepts a connection within milliseconds.
STORE_CONNECT_TIMEOUT_SECONDS = 0.5


def make_forwarder(
    settings: NodeSettings, packet_socket: socket.socket, journal: Journal
) -> Forwarder:
    """Build the packet forwarder, the first component that callers need."""
    random_state = random.getrandbits(32)
    outstanding = OutstandingRequests()
    server_speeds = ServerSpeeds(journal=journal)
    placement = make_placement(
        PLACEMENT,
        outstanding=outstanding,
        server_speeds=server_speeds,
        zone=settings.zone,
        random_state=random_state,
    )
    catalog = Catalog(
        flow_lifetime=settings.flow_lifetime_seconds,
        entry_lifetime=settings.entry_lifetime_seconds,
    )
    server_health = ServerHealth()
    slow_start = SlowStart(
        arrivals=server_health.arrivals,
        catalog=catalog,
        host_id=settings.host_id,
        zone=settings.zone,
        overage=settings.cold_overage,
        slack=settings.cold_slack or 0.0,
    )
    answer_times = AnswerTimes(
        arrivals=server_health.arrivals, is_out=server_health.is_out
    )
    zone_spill = ZoneSpill(
        zone=settings.zone,
        answer_times=answer_times,
        journal=journal,
        random_state=random_state,
    )
    admission = OverloadAdmission(
        answer_times=answer_times,
        zone_spill=zone_spill,
        journal=journal,
        random_state=random_state,
    )
    return Forwarder(
        admission=admission,
        answer_observers=(server_speeds, answer_times, zone_spill, admission),
        catalog=catalog,
        eligibility=Eligibility(
            catalog=catalog, server_health=server_health, slow_start=slow_start
        ),
        codec=EchoPacketCodec(caller_port=settings.packet_listen.port),
        server_health=server_health,
        flows=FlowTable(),
        journal=journal,
        link_queue=LinkQueue(link_mbps=settings.link_mbps),
        outstanding=outstanding,
        placement=placement,
        transmit=PacketSender(packet_socket, journal),
        handshake_observers=(server_speeds,),
        random_state=random_state,
        zone_spill=zone_spill,
    )


def make_node(
    settings: NodeSettings,
    packet_socket: socket.socket,
    forwarder: Forwarder,
    clock: Clock,
    journal: Journal,
) -> "Node":
    """Build the node without its peering, which is imported later."""
    from hornbeamdeal.dsr import CatalogReader, EnvironmentCheck, Node, ZoneReach
    from hornbeamdeal.wire import HttpClient

    client = HttpClient(
        endpoint=settings.store, connect_timeout=STORE_CONNECT_TIMEOUT_SECONDS
    )
    reader = CatalogReader(
        clock=clock,
        catalog=forwarder.catalog,
        read_scheduler=ReadScheduler(
            freshness=settings.freshness_seconds,
            contact=settings.contact_seconds,
            random_state=random.getrandbits(32),
        ),
        server_health=forwarder.server_health,
        journal=journal,
        source=StoreSource(client=client, journal=journal),
        server_speeds=forwarder.placement.server_speeds,
    )
    return Node(
        clock=clock,
        environment=EnvironmentCheck(settings.environment),
        forwarder=forwarder,
        journal=journal,
        packet_socket=packet_socket,
        reader=reader,
        zone_reach=ZoneReach(
            catalog=forwarder.catalog,
            server_health=forwarder.server_health,
            journal=journal,
        ),
    )


def make_peering(settings: NodeSettings, node: "Node") -> "Peering":
    """Build the peering between nodes and import the modules that only it needs."""
    from hornbeamdeal.dsr import Peering, PeerSync, SpeedExchange
    from hornbeamdeal.kernel import EntryHost
    from hornbeamdeal.membership import Membership, generate_incarnation
    from hornbeamdeal.wire import PeerCodec

    listen = Endpoint(settings.ip, settings.peer_port)
    seeds = [Endpoint(ip, settings.peer_port) for ip in settings.seed_ips]

    def make_membership(rejoins: int) -> Membership:
        wall_seconds = time.time() + rejoins * REJOIN_CLOCK_ADVANCE_SECONDS
        own = EntryHost(
            settings.host_id,
            generate_incarnation(wall_seconds),
            listen,
            settings.zone,
            link_mbps=round(settings.link_mbps),
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
        slow_start=node.forwarder.eligibility.slow_start,
        speed_exchange=SpeedExchange(
            server_speeds=node.forwarder.placement.server_speeds,
            catalog=node.catalog,
            journal=node.journal,
        ),
        zone_reach=node.zone_reach,
        queries_at_start=not settings.is_first_start,
    )
    codec = PeerCodec(
        host_id=settings.host_id,
        incarnation=peer_sync.membership.own.incarnation,
        keys_by_id={PEER_KEY_ID: PEER_KEY},
        sending_key_id=PEER_KEY_ID,
        environments=node.environment.names(node.clock.monotonic()),
    )
    return Peering(
        clock=node.clock,
        codec=codec,
        environment=node.environment,
        peer_sync=peer_sync,
        journal=node.journal,
        link_queue=node.forwarder.link_queue,
        listen=listen,
    )
