"""Suspicions and deaths on their way through the region, and who confirms them."""

from collections.abc import Iterable
from hashlib import blake2b

from hornbeamdeal.wire import peer_types

from ._records import WIRE_STATES
from ._updates import UpdateQueue

# Hosts whose own probes failed before a suspicion counts as confirmed, as in
# "Lifeguard" (Dadgar, Phillips, Currey 2018, section 3.2).
CONFIRMATIONS = 3
# A hash of 20 bits is three bytes on the wire; two hosts with one hash only
# delay a confirmation.
ACCUSER_BYTES = 3
ACCUSER_MASK = 0xFFFFF


def accuser_hash(host_id: str) -> int:
    """Return the short name of an accusing host."""
    digest = blake2b(host_id.encode(), digest_size=ACCUSER_BYTES).digest()
    return int.from_bytes(digest) & ACCUSER_MASK


class Accusations:
    """Queue of accusations, with the accusers of each accused member.

    An accusation names a member in about 35 bytes, where a record takes 100,
    so one datagram carries most of a rack.
    """

    __slots__ = ("accusers_by_id", "heard", "own_hash", "queue")

    def __init__(self, own_id: str):
        self.own_hash = accuser_hash(own_id)
        self.accusers_by_id: dict[str, set[int]] = {}
        self.queue = UpdateQueue()
        # Suspects that peers named first, since the prober last looked.
        self.heard: list[str] = []

    def confirm(self, host_id: str, accusers: Iterable[int]) -> None:
        """Note accusers of a suspect; more of them are news to the peers."""
        known = self.accusers_by_id.setdefault(host_id, set())
        before = len(known)
        room = CONFIRMATIONS - before
        known.update([a for a in accusers if a not in known][: max(room, 0)])
        if len(known) > before:
            self.spread(host_id)

    def is_confirmed(self, host_id: str) -> bool:
        """Tell whether enough hosts found the member silent by themselves."""
        return len(self.accusers_by_id.get(host_id, ())) >= CONFIRMATIONS

    def spread(self, host_id: str) -> None:
        """Queue the member's accusation anew."""
        self.queue.put(host_id, urgent=True)

    def discard(self, host_id: str) -> None:
        """Forget all accusations of a member."""
        self.accusers_by_id.pop(host_id, None)
        self.queue.discard(host_id)

    def to_wire(self, member) -> peer_types.Accusation:
        """Return the accusation of a member that is suspect or dead."""
        return peer_types.Accusation(
            member.host_id,
            member.incarnation,
            member.sequence,
            WIRE_STATES.index(member.state),
            sorted(self.accusers_by_id.get(member.host_id, ())),
        )
