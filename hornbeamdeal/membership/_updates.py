"""Queue of the updates that are piggybacked on messages."""

import itertools
import math

# Each update is sent this many times per decimal digit of the member count, as in
# "SWIM" (Das, Gupta, Motivala 2002, section 4.1).
TRANSMISSIONS_PER_DIGIT = 4
# Changes of the version alone come from all hosts at once, at 10 bytes per member.
# With three transmissions, 2% of the records lack the version after 3 s among 60
# hosts; with six, none do.
MAXIMUM_ROUTINE_TRANSMISSIONS = 6


class UpdateQueue:
    """Identifiers of hosts whose records are due for gossip, in two priorities.

    Changes of state are urgent, changes of the version alone are routine.
    """

    __slots__ = ("_routine", "_urgent")

    def __init__(self):
        self._urgent = _TransmissionQueue()
        self._routine = _TransmissionQueue()

    def __bool__(self) -> bool:
        return bool(self._urgent.sent_by_id or self._routine.sent_by_id)

    def put(self, host_id: str, urgent: bool) -> None:
        """Queue a host's record, with its send count reset."""
        if not urgent and host_id in self._urgent.sent_by_id:
            return
        self._routine.discard(host_id)
        (self._urgent if urgent else self._routine).put(host_id, 0)

    def discard(self, host_id: str) -> None:
        """Remove a host from the queue."""
        self._urgent.discard(host_id)
        self._routine.discard(host_id)

    def take(self, count: int, members: int) -> list[str]:
        """Return up to `count` urgent hosts, least often sent first; count a send."""
        return self._urgent.take(count, transmission_limit(members))

    def take_routine(self, count: int, members: int) -> list[str]:
        """Return up to `count` routine hosts, least often sent first; count a send."""
        limit = min(transmission_limit(members), MAXIMUM_ROUTINE_TRANSMISSIONS)
        return self._routine.take(count, limit)


def transmission_limit(members: int) -> int:
    """Return how often a host sends one update."""
    return TRANSMISSIONS_PER_DIGIT * math.ceil(math.log10(members + 1))


class _TransmissionQueue:
    """Hosts ordered by the number of sends, then by arrival."""

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
