"""Gossip queue of suspicions and deaths, with the hosts that confirm them."""

from collections.abc import Iterable
from hashlib import blake2b

from hornbeamdeal.wire import peer_types

from ._records import WIRE_STATES
from ._updates import UpdateQueue

# Number of hosts whose own probes must fail before a suspicion is confirmed, as
# in "Lifeguard" (Dadgar, Phillips, Currey 2018, section 3.2).
REQUIRED_CONFIRMATIONS = 3
# A 20-bit hash takes three bytes on the wire; a collision of two hosts only
# delays a confirmation.
ACCUSER_HASH_BYTES = 3
ACCUSER_HASH_MASK = 0xFFFFF


def accuser_hash(host_id: str) -> int:
    """Return the 20-bit hash that identifies an accusing host on the wire."""
    digest = blake2b(host_id.encode(), digest_size=ACCUSER_HASH_BYTES).digest()
    return int.from_bytes(digest) & ACCUSER_HASH_MASK


class AccusationQueue:
    """Gossip queue of accusations, with the accusers of each accused member.

    An accusation takes about 35 bytes, a member record 100, so one datagram
    carries the accusations of most of a rack.
    """

    __slots__ = ("accusers_by_id", "own_hash", "queue", "reported_suspects")

    def __init__(self, own_id: str):
        self.own_hash = accuser_hash(own_id)
        self.accusers_by_id: dict[str, set[int]] = {}
        self.queue = UpdateQueue()
        # Suspects first reported by peers that the prober has not handled yet.
        self.reported_suspects: list[str] = []

    def add_accusers(self, host_id: str, accusers: Iterable[int]) -> None:
        """Record accusers of a suspect and queue the accusation if any is new."""
        known = self.accusers_by_id.setdefault(host_id, set())
        before = len(known)
        room = REQUIRED_CONFIRMATIONS - before
        known.update([a for a in accusers if a not in known][: max(room, 0)])
        if len(known) > before:
            self.enqueue(host_id)

    def is_confirmed(self, host_id: str) -> bool:
        """Return whether the own probes of enough hosts failed for the member."""
        return len(self.accusers_by_id.get(host_id, ())) >= REQUIRED_CONFIRMATIONS

    def enqueue(self, host_id: str) -> None:
        """Queue the member's accusation for gossip, with its send count reset."""
        self.queue.put(host_id, urgent=True)

    def discard(self, host_id: str) -> None:
        """Discard all accusations of a member."""
        self.accusers_by_id.pop(host_id, None)
        self.queue.discard(host_id)

    def to_wire(self, member) -> peer_types.Accusation:
        """Return the wire form of the accusation or refutation of a member."""
        return peer_types.Accusation(
            member.host_id,
            member.incarnation,
            member.sequence,
            WIRE_STATES.index(member.state),
            sorted(self.accusers_by_id.get(member.host_id, ())),
        )
