"""Membership messages, with a bounded number of piggybacked updates."""

import math
from dataclasses import replace

from hornbeamdeal.kernel import Endpoint, EntryHost, HostState, SendPeerMessage
from hornbeamdeal.wire import peer_types

from ._accusation_rules import apply_accusation
from ._records import (
    WIRE_STATES,
    is_valid_sequence,
    omit_shared_digest,
    record_from_wire,
    record_to_wire,
    restore_shared_digest,
)
from ._table import ACCUSED_STATES, MemberTable
from ._versions import holders_from_wire, holders_to_wire

# Eight records of about 100 bytes plus the envelope stay under 1,200 bytes, as
# do two records plus the accusations.
MAXIMUM_UPDATES = 8
MAXIMUM_ACCUSATIONS = 18
ACCUSATIONS_PER_UPDATE = 3
HOLDERS_PER_UPDATE = 8
# Longer lists of records are sent over TCP.
MAXIMUM_RECORDS_PER_DATAGRAM = 9
# A refutation is sent in the same message as an accusation, with state alive.
ACCUSATION_MESSAGE_STATES = (HostState.ALIVE, *ACCUSED_STATES)
ACCUSATION_MESSAGE_WIRE_STATES = [
    WIRE_STATES.index(state) for state in ACCUSATION_MESSAGE_STATES
]
UPDATE_MESSAGES = (peer_types.Ping, peer_types.PingReply, peer_types.PingRequest)
# Nonce of a message that only carries gossip and replies to no probe.
GOSSIP_NONCE = 0


class Messenger:
    """Builds membership messages, and applies the contents of received ones.

    Messages to send are appended to the table's actions.
    """

    __slots__ = ("table", "_nonce")

    def __init__(self, table: MemberTable):
        self.table = table
        self._nonce = table.random.getrandbits(32)

    def ping(self, target: EntryHost, claim: EntryHost | None = None) -> int:
        """Send a ping to a member and return its nonce."""
        self._nonce += 1
        parts = self._piggyback_for(target.host_id, claim)
        self._send(target.endpoint, peer_types.Ping(self._nonce, *parts))
        return self._nonce

    def reply(self, host_id: str, endpoint: Endpoint, nonce: int) -> None:
        """Reply to a ping; with nonce 0 the message only carries gossip."""
        parts = self._piggyback_for(host_id, None)
        self._send(endpoint, peer_types.PingReply(nonce, *parts))

    def gossip(self, peers: list[EntryHost]) -> None:
        """Send piggybacked updates to peers, without a probe."""
        for peer in peers:
            self.reply(peer.host_id, peer.endpoint, GOSSIP_NONCE)

    def push_deaths(self, peers: list[EntryHost], host_ids: list[str]) -> None:
        """Send the accusations of dead members regardless of the gossip queue."""
        table = self.table
        dead = [table.accusations.to_wire(table.members_by_id[i]) for i in host_ids]
        message = peer_types.PingReply(GOSSIP_NONCE, [record_to_wire(table.own)], dead)
        for peer in peers:
            self._send(peer.endpoint, message, len(dead) > MAXIMUM_ACCUSATIONS)

    def notify_superseded(self, endpoint: Endpoint, known: EntryHost) -> None:
        """Notify an old incarnation of a host that a newer one exists."""
        message = peer_types.PingReply(GOSSIP_NONCE, [record_to_wire(known)])
        self._send(endpoint, message)

    def request_indirect_probe(
        self, helper: EntryHost, target: EntryHost, nonce: int
    ) -> None:
        """Ask a peer to probe a member on behalf of this host."""
        own = record_to_wire(self.table.own)
        message = peer_types.PingRequest(nonce, record_to_wire(target), [own])
        self._send(helper.endpoint, message)

    def request_table(self, endpoint: Endpoint) -> None:
        """Send a join request, which asks a host for its full member table."""
        message = peer_types.JoinRequest(record_to_wire(self.table.own))
        self._send(endpoint, message)

    def send_table(self, endpoint: Endpoint) -> None:
        """Send all records, including dead members so that these can refute."""
        records = [record_to_wire(m) for m in self.table.members_by_id.values()]
        shared = record_to_wire(self.table.own).version_digest
        omit_shared_digest(records, shared)
        is_bulk = len(records) > MAXIMUM_RECORDS_PER_DATAGRAM
        self._send(endpoint, peer_types.JoinReply(records, shared), is_bulk)

    def apply_records(
        self,
        records: list[peer_types.MemberRecord] | None,
        sender: Endpoint,
        now: float,
    ) -> None:
        """Apply received records and correct outdated accusations of the sender."""
        for record in records or ():
            claim = record_from_wire(record)
            if claim is not None:
                self.table.apply_claim(claim, now)
        self._send_corrections(sender)

    def apply_join_reply(self, message: object, sender: Endpoint, now: float) -> None:
        """Apply the full member table of a peer."""
        records = message.members or []
        restore_shared_digest(records, message.version_digest)
        self.apply_records(records, sender, now)

    def apply_updates(self, message: object, sender: Endpoint, now: float) -> None:
        """Apply the updates that are piggybacked on a ping or a reply."""
        for accusation in getattr(message, "accusations", None) or ():
            claim = self._accusation_claim(accusation)
            if claim is not None:
                accusers = accusation.accusers or []
                apply_accusation(self.table, claim, accusers, now)
        holders = getattr(message, "version_holders", None)
        for claim in holders_from_wire(holders, self.table.members_by_id):
            self.table.apply_version_claim(claim)
        self.apply_records(message.updates, sender, now)

    def _send_corrections(self, sender: Endpoint) -> None:
        corrections = self.table.corrections[:MAXIMUM_UPDATES]
        self.table.corrections.clear()
        if corrections:
            known = [record_to_wire(self.table.members_by_id[i]) for i in corrections]
            self._send(sender, peer_types.PingReply(GOSSIP_NONCE, known))

    def _send(
        self, endpoint: Endpoint, message: object, over_tcp: bool = False
    ) -> None:
        self.table.actions.append(SendPeerMessage(endpoint, message, over_tcp))

    def _accusation_claim(self, accusation: peer_types.Accusation) -> EntryHost | None:
        """Return the claim, None if it is malformed or its member record unknown."""
        known = self.table.members_by_id.get(accusation.host_id)
        if known is None or not is_valid_sequence(accusation.sequence):
            return None
        if accusation.incarnation is None or accusation.incarnation > known.incarnation:
            return None
        if accusation.state not in ACCUSATION_MESSAGE_WIRE_STATES:
            return None
        return replace(
            known,
            incarnation=accusation.incarnation,
            sequence=accusation.sequence,
            state=WIRE_STATES[accusation.state],
        )

    def _piggyback_for(self, host_id: str, claim: EntryHost | None) -> tuple:
        """Return records, accusations and version holders for one message.

        The records are this host's, the receiver's if it is accused, and others.
        """
        members = self.table.members_by_id
        chosen = [self.table.own]
        accused = claim or members.get(host_id)
        if accused and accused.state in ACCUSED_STATES:
            chosen.append(accused)
        accusations = self._piggybacked_accusations(host_id)
        room = MAXIMUM_UPDATES - len(chosen)
        room -= math.ceil(len(accusations) / ACCUSATIONS_PER_UPDATE)
        sent = {host.host_id for host in chosen}
        for other_id in self.table.updates.take(max(room, 0), len(members)):
            if other_id not in sent and other_id in members:
                chosen.append(members[other_id])
                room -= 1
        others, holders = self._piggybacked_versions(room)
        records = [record_to_wire(host) for host in chosen + others]
        return records, accusations, holders

    def _piggybacked_versions(self, room: int) -> tuple[list[EntryHost], object]:
        """Return records with other versions, and holders of this host's version."""
        members = self.table.members_by_id
        version = self.table.own.version
        count = max(room, 0) * HOLDERS_PER_UPDATE
        taken = self.table.updates.take_routine(count, len(members))
        known = [members[i] for i in taken if i in members]
        others = [member for member in known if member.version != version]
        room -= math.ceil((len(known) - len(others)) / HOLDERS_PER_UPDATE)
        same = [member for member in known if member.version == version]
        return others[: max(room, 0)], holders_to_wire(version, same)

    def _piggybacked_accusations(self, host_id: str) -> list[peer_types.Accusation]:
        members = self.table.members_by_id
        accusations = self.table.accusations
        taken = accusations.queue.take(MAXIMUM_ACCUSATIONS, len(members))
        named = [members[i] for i in taken if i != host_id and i in members]
        return [
            accusations.to_wire(m)
            for m in named
            if m.state in ACCUSATION_MESSAGE_STATES
        ]
