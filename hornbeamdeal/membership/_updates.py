"""Queue of member records that are piggybacked on messages."""

import itertools
import math

# Each update is sent this many times per decimal digit of the region's size,
# as in "SWIM" (Das, Gupta, Motivala 2002, section 4.1).
TRANSMISSIONS_PER_DIGIT = 4
# A change of version alone concerns every host at once. It takes 10 bytes a
# member; with three transmissions 2% of the records still missed it after 3 s
# in a trial with 60 hosts, with six none.
ROUTINE_TRANSMISSIONS = 6


class UpdateQueue:
    """Host identifiers whose records are due; changes of state go first."""

    __slots__ = ("_routine", "_urgent")

    def __init__(self):
        self._urgent = _Lane()
        self._routine = _Lane()

    def __bool__(self) -> bool:
        return bool(self._urgent.sent_by_id or self._routine.sent_by_id)

    def put(self, host_id: str, urgent: bool) -> None:
        """Queue a host's record anew."""
        if not urgent and host_id in self._urgent.sent_by_id:
            return
        self._routine.discard(host_id)
        (self._urgent if urgent else self._routine).put(host_id, 0)

    def discard(self, host_id: str) -> None:
        """Drop a host from the queue."""
        self._urgent.discard(host_id)
        self._routine.discard(host_id)

    def take(self, count: int, members: int) -> list[str]:
        """Return up to `count` urgent hosts, those least often sent first."""
        return self._urgent.take(count, _transmissions(members))

    def take_routine(self, count: int, members: int) -> list[str]:
        """Return up to `count` hosts whose version alone changed."""
        limit = min(_transmissions(members), ROUTINE_TRANSMISSIONS)
        return self._routine.take(count, limit)


def _transmissions(members: int) -> int:
    return TRANSMISSIONS_PER_DIGIT * math.ceil(math.log10(members + 1))


class _Lane:
    """Hosts in the order of how often they were sent, then of their arrival."""

    __slots__ = ("sent_by_id", "_buckets")

    def __init__(self):
        self.sent_by_id: dict[str, int] = {}
        self._buckets: list[dict[str, None]] = []

    def put(self, host_id: str, sent: int) -> None:
        self.discard(host_id)
        while len(self._buckets) <= sent:
            self._buckets.append({})
        self.sent_by_id[host_id] = sent
        self._buckets[sent][host_id] = None

    def discard(self, host_id: str) -> None:
        sent = self.sent_by_id.pop(host_id, None)
        if sent is not None:
            del self._buckets[sent][host_id]

    def take(self, count: int, limit: int) -> list[str]:
        hosts = itertools.chain.from_iterable(self._buckets)
        taken = list(itertools.islice(hosts, count))
        for host_id in taken:
            sent = self.sent_by_id[host_id] + 1
            if sent < limit:
                self.put(host_id, sent)
            else:
                self.discard(host_id)
        return taken
