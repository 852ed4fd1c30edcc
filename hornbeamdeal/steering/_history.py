"""Current and earlier server sets of a service."""

from collections import deque

from ._rendezvous import ServerSet

# For the first packet of a flow on a host each set costs up to one hash per
# server, so their number is bounded.
MAXIMUM_PAST_SETS = 16


class ServiceHistory:
    """Server sets of one service, with the times of their changes.

    A change settles when all peers have handed over their flow records or a time
    limit has passed. Until then a flow key without a record may belong to an open
    flow, so `settled_set` chooses its server; afterwards `current_set` does.
    """

    __slots__ = (
        "settled_set",
        "current_set",
        "changed_at",
        "_past_sets",
        "_leaving_since_by_id",
        "_settled",
    )

    def __init__(self, server_set: ServerSet):
        self.settled_set = self.current_set = server_set
        self.changed_at = 0.0
        self._settled = True
        self._past_sets: deque[tuple[float, ServerSet]] = deque(
            maxlen=MAXIMUM_PAST_SETS
        )
        self._leaving_since_by_id: dict[str, float] = {}

    def update(self, server_set: ServerSet, now: float) -> bool:
        """Apply the servers of a new view and return whether choices changed."""
        weights_by_id = self.current_set.weights_by_id
        if weights_by_id == server_set.weights_by_id:
            self.current_set = server_set
            return False
        if self._settled:
            self.settled_set = self.current_set
        for server_id in weights_by_id.keys() - server_set.weights_by_id.keys():
            self._leaving_since_by_id[server_id] = now
        for server_id in server_set.weights_by_id:
            self._leaving_since_by_id.pop(server_id, None)
        self._past_sets.append((now, self.current_set))
        self.current_set = server_set
        self.changed_at = now
        self._settled = False
        return True

    def settle(self) -> None:
        """Treat keys without a record as new flows from now on."""
        self._settled = True
        self.settled_set = self.current_set

    def is_settled(self) -> bool:
        """Return whether the latest change has settled."""
        return self._settled

    def expire(self, oldest: float) -> None:
        """Remove the sets that were replaced before the time `oldest`."""
        while self._past_sets and self._past_sets[0][0] < oldest:
            self._past_sets.popleft()

    def is_ambiguous(self, key: int) -> bool:
        """Return whether an earlier set chooses another server for the key."""
        if not self._past_sets:
            return False
        chosen = self.current_set.choose_id(key)
        return any(past.choose_id(key) != chosen for _, past in self._past_sets)

    def leaving_since(self, server_id: str) -> float | None:
        """Return when the server stopped taking new flows, None if it takes them."""
        return self._leaving_since_by_id.get(server_id)
