"""Hosts of real components behind a fake packet codec."""

import random
from collections import Counter
from time import process_time

from hornbeamdeal.dsr import (
    AnswerTimes,
    CallerPacket,
    Catalog,
    Eligibility,
    FlowTable,
    Forwarder,
    LinkQueue,
    OutstandingRequests,
    OverloadAdmission,
    ServerHealth,
    SlowStart,
    Update,
    make_placement,
)

from .uneven_deployments import Deployment

# A placement, then components of section 3 and 4 of docs/load-and-zones.md.
VARIANTS = ("random", "least_outstanding", "least_outstanding+overload")


class FakeCodec:
    """Codec of packets that are tuples of flow, request and header fields."""

    def decode(self, data):
        flow, _, *fields = data
        return CallerPacket(flow.key, flow.key[6:], *fields, data)

    def encapsulate(self, data, server_number):
        return data

    def write_handle(self, data, handle):
        return data

    def make_reset(self, flow_key, acknowledgement):
        return flow_key, None

    def describe_flow(self, flow_key):
        return ""


class CountingJournal:
    """Journal that only counts."""

    def __init__(self):
        self.counters = Counter()

    def event(self, name, **fields):
        pass

    def count(self, name, reason="", amount=1):
        self.counters[name, reason] += amount

    def observe(self, name, seconds):
        pass


class RandomPlacement:
    """Baseline that chooses any server of the host's zone, or of all if it has none."""

    def __init__(self, zone: str, random_state: int):
        self.zone = zone
        self._random = random.Random(random_state)

    def choose(self, candidates, now):
        local = [server for server in candidates if server.zone == self.zone]
        return self._random.choice(local or candidates)

    def record_placement(self, server, now):
        pass


class Host:
    """One host; `cpu_seconds` is the time of its components, without the fakes."""

    def __init__(self, index: int, deployment: Deployment, variant: str, seed: int):
        self.index, self.deployment, self.variant = index, deployment, variant
        self.zone = f"z{index % deployment.zones}"
        self.cpu_seconds, self.packets, self.is_up = 0.0, 0, False
        self.messages, self.message_bytes = 0, 0
        self.journal = CountingJournal()
        self._seed = seed * 10_000 + index
        self._sent = []

    def start(self, now: float, update: Update) -> None:
        """Start with a full copy of the catalog and no other state."""
        catalog, health = Catalog(), ServerHealth()
        outstanding = OutstandingRequests()
        placement_name, *parts = self.variant.split("+")
        placement = (
            RandomPlacement(self.zone, self._seed)
            if placement_name == "random"
            else make_placement(
                placement_name,
                outstanding=outstanding,
                zone=self.zone,
                random_state=self._seed,
            )
        )
        observers, admission = [], None
        if "overload" in parts:
            times = AnswerTimes(arrivals=health.arrivals, is_out=health.is_out)
            admission = OverloadAdmission(
                answer_times=times, journal=self.journal, random_state=self._seed
            )
            observers += [times, admission]
        slow_start = SlowStart(catalog=catalog, host_id=str(self.index), zone=self.zone)
        self.forwarder = Forwarder(
            catalog=catalog,
            eligibility=Eligibility(
                catalog=catalog, server_health=health, slow_start=slow_start
            ),
            codec=FakeCodec(),
            server_health=health,
            flows=FlowTable(),
            journal=self.journal,
            link_queue=LinkQueue(),
            outstanding=outstanding,
            placement=placement,
            transmit=lambda data, address: self._sent.append((data, address)),
            admission=admission,
            answer_observers=tuple(observers),
            random_state=self._seed,
        )
        catalog.apply(update, now)
        catalog.confirm(now)
        self.is_up = True

    def receive(self, packet: tuple, now: float) -> list:
        """Handle a packet; return what was sent as pairs of data and address."""
        if not self.is_up:
            return []
        self.packets += 1
        return self._measure(self.forwarder.receive, packet, now)

    def tick(self, now: float) -> list:
        """Do periodic work; return what was sent."""
        if not self.is_up:
            return []
        self.forwarder.catalog.confirm(now)
        return self._measure(self.forwarder.tick, now)

    def _measure(self, function, *arguments) -> list:
        started = process_time()
        function(*arguments)
        self.cpu_seconds += process_time() - started
        sent, self._sent = self._sent, []
        return sent
