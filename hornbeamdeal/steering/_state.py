"""Flow records of a host and their exchange with other hosts."""

from typing import Any

from hornbeamdeal.kernel import (
    BackendServer,
    ClusterView,
    IncrementCounter,
    PeerMessageReceived,
    SendPeerMessage,
)

from ._handover import Outbox, make_records_message
from ._handover_tracker import HandoverCompletion, HandoverTracker
from ._history import ServiceHistory
from ._keys import digest_of, is_opening_key, to_unsigned
from ._ownership import Ownership
from ._routes import Routes
from ._table import FlowTable

# How long changes of the server sets are remembered. A flow that is open for longer
# may break on a host that has not seen it.
HISTORY_SECONDS = 24 * 3600.0


class FlowState:
    """Flow records, holders and server set histories of one host.

    The record of a flow key is *tracked* if its server is not the current choice
    of the key.
    """

    __slots__ = (
        "routes",
        "ownership",
        "handovers",
        "table",
        "handover_outbox",
        "reply_outbox",
    )
    __slots__ += (
        "histories_by_service",
        "unsettled_histories",
        "changed_services",
        "trusted_from",
    )
    __slots__ += ("version_number", "conflicts", "lost_records", "is_stopping")

    def __init__(
        self, routes, ownership, handovers, table, handover_outbox, reply_outbox
    ):
        self.routes: Routes = routes
        self.ownership: Ownership = ownership
        self.handovers: HandoverTracker = handovers
        self.table: FlowTable = table
        # A handover ends when its outbox is empty, so records of single packets
        # have a queue and a rate limit of their own.
        self.handover_outbox: Outbox = handover_outbox
        self.reply_outbox: Outbox = reply_outbox
        self.histories_by_service: dict[str, ServiceHistory] = {}
        self.unsettled_histories: list[ServiceHistory] = []
        # Services whose choices changed after the last complete scan.
        self.changed_services: set[str] = set()
        # Records last used before this time predate the last pause of this process.
        self.trusted_from = float("-inf")
        self.version_number = 0
        self.conflicts = 0
        self.lost_records = 0
        # A stopping host gets packets until the fabric removes it. It sends on the
        # records that it makes for them, as they would be lost otherwise.
        self.is_stopping = False

    def update(self, view: ClusterView, now: float) -> bool:
        """Apply a view and return whether records have to be handed over."""
        number = view.version.number if view.version else 0
        changed = number != self.version_number
        self.version_number = number
        if self.routes.update(view, now):
            changed = True
            self._update_histories(now)
        self.handovers.update(view, now)
        return self.ownership.update(view, now) or changed

    def _update_histories(self, now: float) -> None:
        sets_by_service = self.routes.sets_by_service
        for service in self.histories_by_service.keys() - sets_by_service.keys():
            del self.histories_by_service[service]
        for service, server_set in sets_by_service.items():
            history = self.histories_by_service.get(service)
            if history is None:
                self.histories_by_service[service] = ServiceHistory(server_set)
            elif history.update(server_set, now):
                self.changed_services.add(service)
                history.expire(now - HISTORY_SECONDS)
        histories = self.histories_by_service.values()
        self.unsettled_histories = [h for h in histories if not h.is_settled()]

    def settle_due(self, now: float) -> None:
        """Settle the changes that no longer wait for handovers."""
        if self.unsettled_histories:
            self.handovers.settle_due(self.unsettled_histories, now)
            self.unsettled_histories = [
                h for h in self.unsettled_histories if not h.is_settled()
            ]

    def server_at(self, slot: int) -> BackendServer | None:
        """Return the server of a record, None if it is not in the view."""
        return self.routes.servers_by_digest.get(self.table.digest_at(slot))

    def differs_from_choice(self, server: BackendServer, key: int) -> bool:
        """Return whether a flow's server is not the current choice of its key."""
        server_set = self.routes.sets_by_service.get(server.service)
        return server_set is None or server_set.choose_id(key) != server.server_id

    def is_trusted(self, slot: int, now: float) -> bool:
        """Return whether a record was used after the last pause of this process."""
        return now - self.table.age_at(slot, now) >= self.trusted_from

    def store(self, key: int, server: BackendServer, now: float) -> bool:
        """Store the server of a flow and return whether the record is tracked."""
        tracked = not is_opening_key(key) and self.differs_from_choice(server, key)
        self._put(key, digest_of(server), now, tracked)
        return tracked

    def replicate(self, key: int, server: BackendServer) -> None:
        """Queue a record for the other holders of its key."""
        for host_id in self.ownership.future.holders(key).others(self.ownership.own_id):
            self.reply_outbox.add(host_id, key, digest_of(server))

    def send_record(self, host_id: str, key: int, server: BackendServer) -> list[Any]:
        """Return a message that sends one record at once, without the rate limit."""
        host = self.ownership.host(host_id)
        if host is None:
            return []
        records = [(key, digest_of(server))]
        message = make_records_message(self.version_number, self.routes.digest, records)
        return [SendPeerMessage(host.endpoint, message)]

    def receive_records(self, event: PeerMessageReceived, now: float) -> list[Any]:
        """Store the flow records of a peer's message; return the counters."""
        message = event.message
        number = message.version_number or 0
        self.handovers.observe_version(number, now)
        for record in message.records or ():
            # Thrift leaves missing fields at None, and key 0 marks a free table entry.
            if not record.key or record.server_digest is None:
                continue
            key, digest = to_unsigned(record.key), to_unsigned(record.server_digest)
            self._receive_record(key, digest, event.host_id, now)
        if message.complete:
            completion = HandoverCompletion(
                event.incarnation, number, message.version_digest or b""
            )
            self.handovers.record_completion(event.host_id, completion)
        return self.pop_counters()

    def _receive_record(self, key: int, digest: int, sender: str, now: float) -> None:
        holders = self.ownership.future.holders(key)
        is_owner = holders.owner == self.ownership.own_id
        slot = self.table.find(key)
        if slot >= 0 and self.is_trusted(slot, now):
            if self.table.digest_at(slot) == digest:
                self.table.touch(slot, now)
                return
            self.conflicts += 1
            # Packets have already followed this host's record, so only a record
            # from the owner replaces it.
            if is_owner:
                self.reply_outbox.add(sender, key, self.table.digest_at(slot))
            if sender != holders.owner:
                return
        server = self.routes.servers_by_digest.get(digest)
        tracked = server is None or self.differs_from_choice(server, key)
        tracked = tracked and not is_opening_key(key)
        self._put(key, digest, now, tracked)
        if self.is_stopping:
            # The sender does not know yet that this host is stopping.
            for host_id in holders.others(sender):
                self.reply_outbox.add(host_id, key, digest)
        elif tracked and is_owner and sender != holders.backup and holders.backup:
            self.reply_outbox.add(holders.backup, key, digest)

    def _put(self, key: int, digest: int, now: float, tracked: bool) -> None:
        self.lost_records += self.table.put(key, digest, now, tracked)

    def pop_counters(self) -> list[Any]:
        """Return and reset the counters of record conflicts and losses."""
        actions: list[Any] = []
        if self.conflicts:
            actions.append(
                IncrementCounter("flow_record_conflicts", amount=self.conflicts)
            )
        if self.lost_records:
            actions.append(
                IncrementCounter("flow_records_lost", amount=self.lost_records)
            )
        self.conflicts = self.lost_records = 0
        return actions

    def send_due(self, now: float) -> list[Any]:
        """Return the record messages that the rate limits allow now."""
        stamp = (self.version_number, self.routes.digest)
        actions = self.handover_outbox.send_due(self.ownership, *stamp, now)
        return actions + self.reply_outbox.send_due(self.ownership, *stamp, now)

    def completion_messages(self) -> list[Any]:
        """Return the messages that report a completed handover, one for each peer."""
        message = make_records_message(
            self.version_number, self.routes.digest, (), True
        )
        return [SendPeerMessage(h.endpoint, message) for h in self.ownership.peers()]
