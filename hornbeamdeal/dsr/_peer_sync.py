"""Exchange between a host and its peers: membership, catalog, server health."""

import copy
import random
from collections.abc import Callable
from typing import Any

from hornbeamdeal.kernel import (
    Endpoint,
    EntryHost,
    HostState,
    PeerMessageReceived,
    RebuildView,
    SendPeerMessage,
)
from hornbeamdeal.membership import Membership, elect_readers
from hornbeamdeal.wire import peer_types

from ._base import Journal
from ._catalog import Catalog
from ._health_exchange import HealthExchange
from ._news_codec import MalformedUpdateError, decode_news, encode_news
from ._read_scheduler import ReadScheduler
from ._records import RouteTable, Update
from ._relays import NO_GROUPS, UpdateRelays
from ._server_health import ServerHealth
from ._slow_start import SlowStart
from ._speed_exchange import REPORT_PEERS, SpeedExchange
from ._zone_reach import ZoneReach

# Minimum interval between requests for a missing part of the catalog; an answer
# takes a few milliseconds.
REQUEST_INTERVAL_SECONDS = 0.25
# Number of peers that a host asks at its start, as one answer may be lost.
START_QUERY_PEERS = 2
# Maximum number of peers that receive a report on servers. In a larger fleet, a
# random sample receives it and the other hosts learn from their own flows.
REPORT_FANOUT = 100
READER_STATES = (HostState.ALIVE, HostState.SUSPECT)
# A leaving host needs current updates, as it forwards until its flows have moved.
PEER_STATES = (*READER_STATES, HostState.LEAVING)


class PeerSync:
    """Synchronizes one host's catalog and server health with its peers.

    Does no I/O: methods return the messages to send. Each catalog update names its
    base revision; a host that lacks that revision requests a full copy from the
    sender.
    """

    __slots__ = (
        "catalog",
        "read_scheduler",
        "health_exchange",
        "journal",
        "make_membership",
        "membership",
        "on_server_changes",
        "queries_at_start",
        "relays",
        "slow_start",
        "speed_exchange",
        "zone_reach",
        "_is_query_due",
        "_receivers_by_group_count",
        "_peers",
        "_random",
        "_rejoins",
        "_next_request_at",
    )

    def __init__(
        self,
        *,
        catalog: Catalog,
        read_scheduler: ReadScheduler,
        server_health: ServerHealth,
        journal: Journal,
        make_membership: Callable[[int], Membership],
        on_server_changes: Callable[[list[tuple[str, Any]]], None],
        relays: UpdateRelays | None = None,
        slow_start: SlowStart | None = None,
        speed_exchange: SpeedExchange | None = None,
        zone_reach: ZoneReach | None = None,
        queries_at_start: bool = True,
        random_state: int | None = None,
    ):
        self.catalog = catalog
        self.read_scheduler = read_scheduler
        self.journal = journal
        self.make_membership = make_membership
        self.membership = make_membership(0)
        self.on_server_changes = on_server_changes
        self.queries_at_start = queries_at_start
        self.relays = relays or UpdateRelays()
        self.slow_start = slow_start
        self.speed_exchange = speed_exchange
        self.zone_reach = zone_reach
        self._peers: list[EntryHost] = []
        self._receivers_by_group_count: dict[int, list[EntryHost]] = {}
        self._is_query_due = queries_at_start
        self._rejoins = 0
        self._random = random.Random(random_state)
        self.health_exchange = HealthExchange(
            server_health=server_health,
            catalog=catalog,
            journal=journal,
            random_state=self._random,
        )
        self._next_request_at = float("-inf")

    def tick(self, now: float) -> list[Any]:
        """Run membership's timers and report new unanswered packets to peers."""
        actions = self.membership.tick(now)
        if self.membership.superseded_:
            self.membership = self._rejoin()
            self._update_peers(now)
        elif any(isinstance(action, RebuildView) for action in actions):
            self._update_peers(now)
        if self.slow_start is not None and not self.slow_start.has_view:
            self._update_slow_start(now)
        if not self.catalog.is_complete and self._peers:
            # The store may be unavailable while this host starts.
            actions += self._request_catalog(
                self._random.choice(self._peers).endpoint, now
            )
        elif self._is_query_due and self._peers:
            self._is_query_due = False
            actions += self._query_peers()
        report = self.health_exchange.make_report(now)
        return actions + self._send_to_sample(report) + self._report_speeds(now)

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle a peer's message or a stop request."""
        if isinstance(event, PeerMessageReceived):
            self._record_sender(event.host_id, now)
            message = event.message
            if isinstance(message, peer_types.CatalogNews):
                relayed = self._relay_update(message)
                return relayed + self._apply_update(message, event.endpoint, now)
            if isinstance(message, peer_types.CatalogRequest):
                return self._send_full_catalog(event.endpoint, message, now)
            if isinstance(message, peer_types.ServerSigns):
                refutation = self.health_exchange.apply(
                    message, event.host_id, len(self._peers), now
                )
                return self._send_to_sample(refutation)
            if isinstance(message, peer_types.ServerSpeeds):
                if self.speed_exchange is not None:
                    self.speed_exchange.apply(message, now)
                return []
        return self.membership.handle(event, now)

    def _record_sender(self, host_id: str, now: float) -> None:
        sender = self.membership.members_.get(host_id)
        if sender is not None and self.zone_reach is not None:
            self.zone_reach.record_message(sender.zone, now)

    def broadcast(
        self, update: Update, previous: RouteTable | None, now: float
    ) -> list[Any]:
        """Return messages to the peers for a store answer just applied here.

        In a large fleet these go to relays, which forward them.
        """
        message = encode_news(
            update,
            age=self.catalog.age(now),
            position=self.read_scheduler.position,
            previous_routes=previous,
        )
        return self._send_update(message)

    def _send_update(self, message: Any) -> list[Any]:
        actions = []
        for groups, peers in self._receivers_by_group_count.items():
            addressed = copy.copy(message)
            addressed.relay_groups = groups
            actions += [SendPeerMessage(peer.endpoint, addressed) for peer in peers]
        return actions

    def _relay_update(self, message: Any) -> list[Any]:
        """Return copies for this host's group if the sender asks for relaying."""
        if not message.relay_groups or message.relay_groups < 0:
            return []
        own = self.membership.own
        peers = self.relays.group_peers(own, self._peers, message.relay_groups)
        relayed = copy.copy(message)
        relayed.relay_groups = NO_GROUPS
        return [SendPeerMessage(peer.endpoint, relayed) for peer in peers]

    def _rejoin(self) -> Membership:
        """Rejoin with a later incarnation, as the clock went back before this start."""
        self._rejoins += 1
        self.journal.event("rejoining", attempt=self._rejoins)
        return self.make_membership(self._rejoins)

    def _update_peers(self, now: float) -> None:
        members = self.membership.members_.values()
        own_id = self.membership.own.host_id
        self._peers = [
            host
            for host in members
            if host.host_id != own_id and host.state in PEER_STATES
        ]
        self._receivers_by_group_count = self.relays.receivers(self._peers)
        staying = [host for host in members if host.state in READER_STATES]
        self._update_slow_start(now)
        order, elected_count = reader_order(staying)
        if own_id in order:
            self.read_scheduler.position = order.index(own_id)
            self.read_scheduler.is_elected_reader = (
                self.read_scheduler.position < elected_count
            )

    def _update_slow_start(self, now: float) -> None:
        """Tell slow start the zone's hosts, once this host has met a peer.

        A host that starts while it is cut off can't tell whether it is the only one;
        without seeds it is.
        """
        slow_start, membership = self.slow_start, self.membership
        if slow_start is None or not slow_start.is_enabled:
            return
        is_alone = not (self._peers or slow_start.has_view)
        if is_alone and membership.seeds:
            return
        zone = membership.own.zone
        hosts = [host for host in membership.members_.values() if host.zone == zone]
        staying = {host.host_id for host in hosts if host.state in READER_STATES}
        leaving = {h.host_id for h in hosts if h.state is HostState.LEAVING}
        slow_start.set_zone_hosts(staying, now, leaving)

    def _apply_update(self, message: Any, sender: Endpoint, now: float) -> list[Any]:
        try:
            update = decode_news(message, self.catalog.routes, self.catalog.epoch)
        except MalformedUpdateError as error:
            self.journal.count("peer_messages_dropped", "malformed_update")
            self.journal.event("peer_update_malformed", sender=sender, detail=error)
            return []
        age = message.age_ms / 1000
        position = message.position if message.position >= 0 else len(self._peers)
        if update is None or not self.catalog.can_apply(update):
            return self._request_catalog(sender, now)
        changes = self.catalog.apply(update, now)
        if update.epoch == self.catalog.epoch:
            if update.revision >= self.catalog.revision:
                self.catalog.confirm(now - age)
            self.read_scheduler.record_peer_update(position, age, now)
        else:
            self.journal.count("catalog_news_outdated")
        if changes or self.catalog.changed_zones or update.routes is not None:
            self.journal.event(
                "news_applied",
                sender=str(sender),
                epoch=update.epoch,
                revision=update.revision,
                age_ms=message.age_ms,
                version=self.catalog.version,
            )
            self.on_server_changes(changes)
        return self._compare(update, sender, now)

    def _compare(self, update: Update, sender: Endpoint, now: float) -> list[Any]:
        """Compare the sender's entries at this catalog's position with its own.

        If they differ, this host reads the store; a newer version is the sender's to
        tell, as versions never decrease.
        """
        catalog = self.catalog
        own = catalog.fingerprint(now)
        position = (catalog.epoch, catalog.revision)
        is_same_position = (update.epoch, update.revision) == position
        if not is_same_position or None in (own, update.fingerprint):
            return []
        verification = self.read_scheduler.verification
        is_same = own == update.fingerprint
        is_behind = update.version > catalog.version
        if is_same:
            verification.record_agreement()
            if not is_behind:
                return []
        else:
            verification.record_difference(len(self._peers) + 1, now)
        self.journal.count("catalog_differences")
        self.journal.event(
            "catalog_differs",
            sender=sender,
            epoch=catalog.epoch,
            revision=catalog.revision,
            version=catalog.version,
            sender_version=update.version,
            servers=len(catalog.servers_by_id),
            fingerprint=own,
            sender_fingerprint=update.fingerprint,
        )
        return self._request_catalog(sender, now) if is_behind else []

    def _request_catalog(self, sender: Endpoint, now: float) -> list[Any]:
        if now < self._next_request_at:
            return []
        self._next_request_at = now + REQUEST_INTERVAL_SECONDS
        self.journal.count("catalog_gaps")
        return [SendPeerMessage(sender, self._make_request(only_if_newer=False))]

    def _query_peers(self) -> list[Any]:
        """Ask peers of the own zone first for what a restored store may have lost."""
        zone = self.membership.own.zone
        peers = [host for host in self._peers if host.zone == zone] or self._peers
        queried = self._random.sample(peers, min(len(peers), START_QUERY_PEERS))
        request = self._make_request(only_if_newer=True)
        return [SendPeerMessage(peer.endpoint, request) for peer in queried]

    def _make_request(self, only_if_newer: bool) -> Any:
        catalog = self.catalog
        return peer_types.CatalogRequest(
            after_revision=catalog.revision,
            epoch=catalog.epoch,
            version=catalog.routes.version if catalog.routes else 0,
            only_if_newer=only_if_newer,
        )

    def _send_full_catalog(
        self, sender: Endpoint, request: Any, now: float
    ) -> list[Any]:
        if not self.catalog.is_complete:
            return []
        if request.only_if_newer and not self._knows_more(request):
            return []
        message = encode_news(
            self.catalog.as_update(now),
            age=self.catalog.age(now),
            position=self.read_scheduler.position,
            previous_routes=None,
        )
        return [SendPeerMessage(sender, message, over_tcp=True)]

    def _knows_more(self, request: Any) -> bool:
        """Return whether this catalog holds what the sender of a query may lack.

        A later revision of the same epoch doesn't count: the next update of the
        reader shows the sender what it lacks.
        """
        catalog = self.catalog
        return (
            catalog.epoch > (request.epoch or 0)
            or catalog.routes.version > (request.version or 0)
            or not catalog.provisional.is_empty
            or catalog.evacuations.has_unconfirmed
        )

    def _report_speeds(self, now: float) -> list[Any]:
        """Report answer times to a few hosts of the own zone, whose servers they are."""
        if self.speed_exchange is None:
            return []
        message = self.speed_exchange.make_report(now)
        if message is None:
            return []
        zone = self.membership.own.zone
        peers = [host for host in self._peers if host.zone == zone]
        receivers = self._random.sample(peers, min(len(peers), REPORT_PEERS))
        return [SendPeerMessage(peer.endpoint, message) for peer in receivers]

    def _send_to_sample(self, message: Any) -> list[Any]:
        if message is None:
            return []
        peers = self._peers
        if len(peers) > REPORT_FANOUT:
            peers = self._random.sample(peers, REPORT_FANOUT)
        return [SendPeerMessage(peer.endpoint, message) for peer in peers]


def reader_order(hosts: list[EntryHost]) -> tuple[list[str], int]:
    """Return the host ids in reading order and the number of elected readers.

    The elected readers of all zones come first, widest link first and zones in
    turn among equal links. The other hosts read only if all of these fail.
    """
    zones = sorted({host.zone for host in hosts})
    elected_by_zone = [elect_readers(hosts, zone) for zone in zones]
    rounds = max(map(len, elected_by_zone), default=0)
    elected_hosts = [
        hosts_of_zone[i]
        for i in range(rounds)
        for hosts_of_zone in elected_by_zone
        if i < len(hosts_of_zone)
    ]
    # Updates for the whole fleet would leave a narrow link less room for callers.
    elected_hosts.sort(key=lambda host: -host.link_mbps)
    ids = [host.host_id for host in elected_hosts]
    others = sorted({host.host_id for host in hosts}.difference(ids))
    return ids + others, len(ids)
