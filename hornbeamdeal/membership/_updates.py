"""Queue of member records that are piggybacked on messages."""

import math
from collections import OrderedDict

# Each update is sent this many times per decimal digit of the region's size,
# as in "SWIM" (Das, Gupta, Motivala 2002, section 4.1).
TRANSMISSIONS_PER_DIGIT = 4
# A change of version alone concerns every host at once, so a region of 290
# hosts has 290 of them; three transmissions keep them within the byte budget.
ROUTINE_TRANSMISSIONS = 3


class UpdateQueue:
    """Host identifiers whose records are due; changes of state go first."""

    __slots__ = ("_routine", "_urgent")

    def __init__(self):
        self._urgent: OrderedDict[str, int] = OrderedDict()
        self._routine: OrderedDict[str, int] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._urgent or self._routine)

    def __len__(self) -> int:
        return len(self._urgent) + len(self._routine)

    def put(self, host_id: str, urgent: bool) -> None:
        """Queue a host's record anew; it is sent before those sent already."""
        if not urgent and host_id in self._urgent:
            return
        self._routine.pop(host_id, None)
        queue = self._urgent if urgent else self._routine
        queue[host_id] = 0
        queue.move_to_end(host_id, last=False)

    def discard(self, host_id: str) -> None:
        """Drop a host from the queue."""
        self._urgent.pop(host_id, None)
        self._routine.pop(host_id, None)

    def take(self, count: int, members: int) -> list[str]:
        """Return up to `count` hosts, those least often sent first."""
        limit = TRANSMISSIONS_PER_DIGIT * math.ceil(math.log10(members + 1))
        taken = _rotate(self._urgent, count, limit)
        return taken + _rotate(
            self._routine, count - len(taken), min(limit, ROUTINE_TRANSMISSIONS)
        )


def _rotate(queue: OrderedDict[str, int], count: int, limit: int) -> list[str]:
    taken = []
    for _ in range(min(count, len(queue))):
        host_id, sent = queue.popitem(last=False)
        taken.append(host_id)
        if sent + 1 < limit:
            queue[host_id] = sent + 1
    return taken
