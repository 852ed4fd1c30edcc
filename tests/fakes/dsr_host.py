"""A direct server return host on a manual clock, and packets of callers."""

from hornbeamdeal.dsr import (
    Catalog,
    Eligibility,
    FlowTable,
    Forwarder,
    LinkQueue,
    OutstandingRequests,
    Route,
    RouteTable,
    Server,
    ServerHealth,
    SlowStart,
    Update,
    make_placement,
)
from hornbeamdeal.kernel import ManualClock
from hornbeamdeal.platform._packets import EchoPacketCodec, encode_address

CALLER_PORT = 8172
SERVICE_IP, SERVICE_PORT = "198.18.0.1", 443
SERVICE, ZONE = "reservas", "z1"
FLAG_SYN, FLAG_ACK, FLAG_FIN, FLAG_RST = 128, 4, 64, 2
HEADER_BYTES = 32
SERVER_SEQUENCE = 7_000


class RecordingJournal:
    """Records events and counts."""

    def __init__(self):
        self.events = []
        self.counts = {}

    def event(self, name, **fields):
        self.events.append((name, fields))

    def count(self, name, reason="", amount=1):
        self.counts[name, reason] = self.counts.get((name, reason), 0) + amount

    def observe(self, name, seconds):
        self.counts[name, "seconds"] = seconds


def make_packet(
    caller, flags, *, sequence=0, ack=0, echo=0, data=b"", port=SERVICE_PORT
):
    """Return a caller's packet, where `caller` is `ip:port`."""
    ip, _, caller_port = caller.partition(":")
    head = sequence.to_bytes(4, "little") + ack.to_bytes(4, "little")
    head += b"\xaa\xbb\xcc\xdd" + echo.to_bytes(4, "little")
    head += encode_address(ip, int(caller_port)) + encode_address(SERVICE_IP, port)
    return head + bytes([flags, 0]) + len(data).to_bytes(2, "little") + data


def make_server(name, *, zone=ZONE, draining=False, revision=1, service=SERVICE):
    """Return a server whose identifier and address derive from its number."""
    number = int(name)
    return Server(
        server_id=f"i-{number:010x}",
        number=number.to_bytes(8, "big"),
        service=service,
        address=(f"10.1.0.{number}", 8000),
        zone=zone,
        slots=3,
        is_draining=draining,
        revision=revision,
    )


def make_routes(version=1, ports=(SERVICE_PORT,), service=SERVICE, idle_timeout=15.0):
    """Return routes from some ports to one service."""
    routes = [
        Route(
            address_key=encode_address(SERVICE_IP, port),
            name=f"r-{port}",
            weights_by_service={service: 1.0},
        )
        for port in ports
    ]
    return RouteTable(
        version=version,
        routes_by_key={route.address_key: route for route in routes},
        idle_timeout=idle_timeout,
    )


class QueuedPackets:
    """A socket in which packets are queued."""

    def __init__(self, packets=()):
        self.packets = list(packets)

    def recv(self, size):
        if not self.packets:
            raise BlockingIOError
        return self.packets.pop(0)


class Host:
    """A forwarder that records the datagrams it sends."""

    def __init__(
        self,
        clock=None,
        zone=ZONE,
        random_state=1,
        link_mbps=None,
        host_id="h1",
        cold_overage=None,
        cold_slack=0.0,
    ):
        self.clock = clock or ManualClock(100.0)
        self.journal = RecordingJournal()
        self.catalog = Catalog()
        self.server_health = ServerHealth()
        self.outstanding = OutstandingRequests()
        self.slow_start = SlowStart(
            arrivals=self.server_health.arrivals,
            catalog=self.catalog,
            host_id=host_id,
            zone=zone,
            overage=cold_overage,
            slack=cold_slack,
        )
        self.sent = []
        self.forwarder = Forwarder(
            catalog=self.catalog,
            codec=EchoPacketCodec(caller_port=CALLER_PORT),
            eligibility=Eligibility(
                catalog=self.catalog,
                server_health=self.server_health,
                slow_start=self.slow_start,
            ),
            server_health=self.server_health,
            flows=FlowTable(),
            journal=self.journal,
            link_queue=LinkQueue(link_mbps=link_mbps),
            outstanding=self.outstanding,
            placement=make_placement(
                "least_outstanding",
                outstanding=self.outstanding,
                zone=zone,
                random_state=random_state,
            ),
            transmit=lambda data, address: self.sent.append((data, address)),
            random_state=random_state,
        )

    def apply_update(
        self,
        servers=(),
        routes=None,
        revision=1,
        base=None,
        removed=None,
        zones=(),
        epoch=0,
    ):
        """Apply an update and mark the catalog as current."""
        now = self.clock.monotonic()
        update = Update(
            base_revision=base,
            revision=revision,
            servers=list(servers),
            removed=removed,
            routes=routes,
            zones=zones,
            epoch=epoch,
        )
        changes = self.catalog.apply(update, now)
        self.catalog.confirm(now)
        return changes

    def receive(self, packet, arrived_at=None):
        """Handle a packet; return the datagrams sent because of it."""
        before = len(self.sent)
        self.forwarder.receive(packet, self.clock.monotonic(), arrived_at)
        return self.sent[before:]

    def open_flow(self, caller, **fields):
        """Send an opening packet; return the datagrams sent because of it."""
        return self.receive(make_packet(caller, FLAG_SYN, **fields))

    def establish(self, caller):
        """Open a flow whose server answers; return the handle."""
        data, _ = self.open_flow(caller)[-1]
        handle = handle_in(data)
        self.receive(make_packet(caller, FLAG_ACK, ack=SERVER_SEQUENCE, echo=handle))
        return handle

    def send_data(self, caller, handle, sequence=1, ack=SERVER_SEQUENCE, length=10):
        """Send data on an open flow; return the datagrams sent because of it."""
        packet = make_packet(
            caller,
            FLAG_ACK,
            sequence=sequence,
            ack=ack,
            echo=handle,
            data=b"d" * length,
        )
        return self.receive(packet)


def handle_in(datagram):
    """Return the handle in a datagram to a server."""
    return int.from_bytes(datagram[20:24], "little")


def number_in(datagram):
    """Return the number of the server to which a datagram is addressed."""
    return int.from_bytes(datagram[:8], "big")


def is_reset(datagram):
    """Return whether a datagram is a reset that the host made for a caller."""
    return len(datagram) == HEADER_BYTES and datagram[28] == FLAG_RST


def caller_in_reset(datagram):
    """Return the caller, as `ip:port`, that a reset is meant for."""
    ip = ".".join(map(str, reversed(datagram[22:26])))
    return f"{ip}:{int.from_bytes(datagram[26:28], 'little')}"
