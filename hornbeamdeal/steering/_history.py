"""Earlier server sets of a service, and when their choices stop to count."""

from collections import deque

from ._rendezvous import ServerSet

# Each set costs up to one hash a server for the first packet of a flow on a
# host, so their number is bounded.
MAXIMUM_PAST_SETS = 16


class ServiceHistory:
    """Server sets of one service, the latest last.

    Until the change has settled, the choice of `settled_set` (the last settled set)
    counts for keys that nobody has a record of.
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
        """Take the servers of a new view; tell whether choices changed."""
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
        """From now on a key without a record is new."""
        self._settled = True
        self.settled_set = self.current_set

    def is_settled(self) -> bool:
        """Tell whether the latest change has settled."""
        return self._settled

    def expire(self, oldest: float) -> None:
        """Forget the sets that were replaced before `oldest`."""
        while self._past_sets and self._past_sets[0][0] < oldest:
            self._past_sets.popleft()

    def is_ambiguous(self, key: int) -> bool:
        """Tell whether an earlier set chooses another server for the key."""
        if not self._past_sets:
            return False
        chosen = self.current_set.choose_id(key)
        return any(past.choose_id(key) != chosen for _, past in self._past_sets)

    def leaving_since(self, server_id: str) -> float | None:
        """Return when the server stopped to take new flows, None where it takes."""
        return self._leaving_since_by_id.get(server_id)
