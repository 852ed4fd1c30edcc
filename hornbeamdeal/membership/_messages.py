"""Sending of membership messages with bounded piggybacked updates."""

from hornbeamdeal.kernel import Endpoint, EntryHost, SendPeer
from hornbeamdeal.wire import peer_types

from ._records import from_wire, to_wire
from ._table import ACCUSED_STATES, MemberTable

# Eight records of about 100 bytes and the envelope stay under 1,200 bytes.
MAXIMUM_UPDATES = 8
# A list of more records goes over TCP.
MAXIMUM_DATAGRAM_RECORDS = 9
# Nonce of a message that only carries updates and answers no probe.
GOSSIP_NONCE = 0


class Messenger:
    """Builds membership messages and puts them into the table's outbox."""

    __slots__ = ("table", "_nonce")

    def __init__(self, table: MemberTable):
        self.table = table
        self._nonce = table.random.getrandbits(32)

    def ping(self, target: EntryHost, claim: EntryHost | None = None) -> int:
        """Probe a member and return the nonce of the probe."""
        self._nonce += 1
        updates = self._updates_for(target.host_id, claim)
        self._send(target.endpoint, peer_types.Ping(self._nonce, updates))
        return self._nonce

    def reply(self, host_id: str, endpoint: Endpoint, nonce: int) -> None:
        """Answer a probe, or only send updates where the nonce is 0."""
        updates = self._updates_for(host_id, None)
        self._send(endpoint, peer_types.PingReply(nonce, updates))

    def gossip(self, peers: list[EntryHost]) -> None:
        """Send updates to peers."""
        for peer in peers:
            self.reply(peer.host_id, peer.endpoint, GOSSIP_NONCE)

    def tell_stale(self, endpoint: Endpoint, known: EntryHost) -> None:
        """Tell an old incarnation of a host of the newer one."""
        message = peer_types.PingReply(GOSSIP_NONCE, [to_wire(known)])
        self._send(endpoint, message)

    def ask_to_probe(self, helper: EntryHost, target: EntryHost, nonce: int) -> None:
        """Ask a peer to probe a third host."""
        updates = self._updates_for(helper.host_id, None)
        message = peer_types.PingRequest(nonce, to_wire(target), updates[:-1])
        self._send(helper.endpoint, message)

    def join(self, endpoint: Endpoint) -> None:
        """Ask a host for all members it knows."""
        message = peer_types.JoinRequest(to_wire(self.table.own))
        self._send(endpoint, message)

    def answer_join(self, endpoint: Endpoint) -> None:
        """Send all records, the dead ones too, so that the dead can refute."""
        records = [to_wire(m) for m in self.table.members_by_id.values()]
        is_bulk = len(records) > MAXIMUM_DATAGRAM_RECORDS
        self._send(endpoint, peer_types.JoinReply(records), is_bulk)

    def absorb(
        self,
        records: list[peer_types.MemberRecord] | None,
        sender: Endpoint,
        now: float,
    ) -> None:
        """Take the records of a received message, and correct old accusations."""
        for record in records or ():
            claim = from_wire(record)
            if claim is not None:
                self.table.absorb(claim, now)
        corrections = self.table.corrections[:MAXIMUM_UPDATES]
        self.table.corrections.clear()
        if corrections:
            known = [to_wire(self.table.members_by_id[i]) for i in corrections]
            self._send(sender, peer_types.PingReply(GOSSIP_NONCE, known))

    def _send(self, endpoint: Endpoint, message: object, bulk: bool = False) -> None:
        self.table.outbox.append(SendPeer(endpoint, message, bulk))

    def _updates_for(self, host_id: str, claim: EntryHost | None) -> list:
        """Return the own record, the receiver's if it is accused, and others."""
        table = self.table
        chosen = [table.own]
        accused = claim or table.members_by_id.get(host_id)
        if accused and accused.state in ACCUSED_STATES:
            chosen.append(accused)
        room = MAXIMUM_UPDATES - len(chosen)
        sent = {host.host_id for host in chosen}
        for other_id in table.updates.take(room, len(table.members_by_id)):
            if other_id not in sent and other_id in table.members_by_id:
                chosen.append(table.members_by_id[other_id])
        return [to_wire(host) for host in chosen]
