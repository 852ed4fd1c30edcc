"""Sending of membership messages with bounded piggybacked updates."""

import math
from dataclasses import replace

from hornbeamdeal.kernel import Endpoint, EntryHost, HostState, SendPeer
from hornbeamdeal.wire import peer_types

from ._accusation_rules import apply_accusation
from ._records import WIRE_STATES, from_wire, omit_digest, restore_digest, to_wire
from ._table import ACCUSED_STATES, MemberTable
from ._versions import holders_from_wire, holders_to_wire

# Eight records of about 100 bytes and the envelope stay under 1,200 bytes; so
# do two records and the accusations.
MAXIMUM_UPDATES = 8
MAXIMUM_ACCUSATIONS = 18
ACCUSATIONS_PER_UPDATE = 3
HOLDERS_PER_UPDATE = 8
# A list of more records goes over TCP.
MAXIMUM_DATAGRAM_RECORDS = 9
# A refutation is spread like the accusation, with state alive.
ACCUSATION_MESSAGE_STATES = (HostState.ALIVE, *ACCUSED_STATES)
ACCUSATION_MESSAGE_WIRE_STATES = [
    WIRE_STATES.index(state) for state in ACCUSATION_MESSAGE_STATES
]
UPDATE_MESSAGES = (peer_types.Ping, peer_types.PingReply, peer_types.PingRequest)
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
        parts = self._updates_for(target.host_id, claim)
        self._send(target.endpoint, peer_types.Ping(self._nonce, *parts))
        return self._nonce

    def reply(self, host_id: str, endpoint: Endpoint, nonce: int) -> None:
        """Answer a probe, or only send updates where the nonce is 0."""
        parts = self._updates_for(host_id, None)
        self._send(endpoint, peer_types.PingReply(nonce, *parts))

    def gossip(self, peers: list[EntryHost]) -> None:
        """Send updates to peers."""
        for peer in peers:
            self.reply(peer.host_id, peer.endpoint, GOSSIP_NONCE)

    def push_deaths(self, peers: list[EntryHost], host_ids: list[str]) -> None:
        """Send the accusations of dead members, whatever the queue holds."""
        table = self.table
        dead = [table.accusations.to_wire(table.members_by_id[i]) for i in host_ids]
        message = peer_types.PingReply(GOSSIP_NONCE, [to_wire(table.own)], dead)
        for peer in peers:
            self._send(peer.endpoint, message, len(dead) > MAXIMUM_ACCUSATIONS)

    def tell_stale(self, endpoint: Endpoint, known: EntryHost) -> None:
        """Tell an old incarnation of a host of the newer one."""
        message = peer_types.PingReply(GOSSIP_NONCE, [to_wire(known)])
        self._send(endpoint, message)

    def ask_to_probe(self, helper: EntryHost, target: EntryHost, nonce: int) -> None:
        """Ask a peer to probe a third host."""
        own = to_wire(self.table.own)
        message = peer_types.PingRequest(nonce, to_wire(target), [own])
        self._send(helper.endpoint, message)

    def join(self, endpoint: Endpoint) -> None:
        """Ask a host for all members it knows."""
        message = peer_types.JoinRequest(to_wire(self.table.own))
        self._send(endpoint, message)

    def answer_join(self, endpoint: Endpoint) -> None:
        """Send all records, the dead ones too, so that the dead can refute."""
        records = [to_wire(m) for m in self.table.members_by_id.values()]
        shared = to_wire(self.table.own).version_digest
        omit_digest(records, shared)
        is_bulk = len(records) > MAXIMUM_DATAGRAM_RECORDS
        self._send(endpoint, peer_types.JoinReply(records, shared), is_bulk)

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
        self._correct(sender)

    def absorb_table(self, message: object, sender: Endpoint, now: float) -> None:
        """Take all records that a host knows."""
        records = message.members or []
        restore_digest(records, message.version_digest)
        self.absorb(records, sender, now)

    def absorb_updates(self, message: object, sender: Endpoint, now: float) -> None:
        """Take the records and the accusations of a probe or an answer."""
        for accusation in getattr(message, "accusations", None) or ():
            claim = self._claim_of(accusation)
            if claim is not None:
                accusers = accusation.accusers or []
                apply_accusation(self.table, claim, accusers, now)
        holders = getattr(message, "version_holders", None)
        for claim in holders_from_wire(holders, self.table.members_by_id):
            self.table.absorb_version(claim)
        self.absorb(message.updates, sender, now)

    def _correct(self, sender: Endpoint) -> None:
        corrections = self.table.corrections[:MAXIMUM_UPDATES]
        self.table.corrections.clear()
        if corrections:
            known = [to_wire(self.table.members_by_id[i]) for i in corrections]
            self._send(sender, peer_types.PingReply(GOSSIP_NONCE, known))

    def _send(self, endpoint: Endpoint, message: object, bulk: bool = False) -> None:
        self.table.outbox.append(SendPeer(endpoint, message, bulk))

    def _claim_of(self, accusation: peer_types.Accusation) -> EntryHost | None:
        """Return the claim of an accusation, None where the record is not here."""
        known = self.table.members_by_id.get(accusation.host_id)
        if known is None or accusation.sequence is None:
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

    def _updates_for(self, host_id: str, claim: EntryHost | None) -> tuple:
        """Return records, accusations and holders of the version in force.

        The records are the own one, the receiver's if it is accused, and others.
        """
        members = self.table.members_by_id
        chosen = [self.table.own]
        accused = claim or members.get(host_id)
        if accused and accused.state in ACCUSED_STATES:
            chosen.append(accused)
        accusations = self._accusations_for(host_id)
        room = MAXIMUM_UPDATES - len(chosen)
        room -= math.ceil(len(accusations) / ACCUSATIONS_PER_UPDATE)
        sent = {host.host_id for host in chosen}
        for other_id in self.table.updates.take(max(room, 0), len(members)):
            if other_id not in sent and other_id in members:
                chosen.append(members[other_id])
                room -= 1
        others, holders = self._versions_for(room)
        records = [to_wire(host) for host in chosen + others]
        return records, accusations, holders

    def _versions_for(self, room: int) -> tuple[list[EntryHost], object]:
        """Return records with other versions than the own, and who has the own."""
        members = self.table.members_by_id
        version = self.table.own.version
        count = max(room, 0) * HOLDERS_PER_UPDATE
        taken = self.table.updates.take_routine(count, len(members))
        known = [members[i] for i in taken if i in members]
        others = [member for member in known if member.version != version]
        room -= math.ceil((len(known) - len(others)) / HOLDERS_PER_UPDATE)
        same = [member for member in known if member.version == version]
        return others[: max(room, 0)], holders_to_wire(version, same)

    def _accusations_for(self, host_id: str) -> list[peer_types.Accusation]:
        members = self.table.members_by_id
        accusations = self.table.accusations
        taken = accusations.queue.take(MAXIMUM_ACCUSATIONS, len(members))
        named = [members[i] for i in taken if i != host_id and i in members]
        return [
            accusations.to_wire(m)
            for m in named
            if m.state in ACCUSATION_MESSAGE_STATES
        ]
