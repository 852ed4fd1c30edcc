"""Earlier server sets of a service, and when their choices stop to count."""

from collections import deque

from ._choice import ServerSet

# Each set costs up to one hash a server for the first packet of a flow on a
# host, so their number is bounded.
MAXIMUM_SETS = 16


class ServiceHistory:
    """Server sets of one service, the latest last.

    Until the change has settled, the choice of `base` (the last settled set)
    counts for keys that nobody has a record of.
    """

    __slots__ = ("base", "current", "changed_at", "_earlier", "_left_at", "_settled")

    def __init__(self, server_set: ServerSet):
        self.base = self.current = server_set
        self.changed_at = 0.0
        self._settled = True
        self._earlier: deque[tuple[float, ServerSet]] = deque(maxlen=MAXIMUM_SETS)
        self._left_at: dict[str, float] = {}

    def change(self, server_set: ServerSet, now: float) -> bool:
        """Take the servers of a new view; tell whether choices changed."""
        weights_by_id = self.current.weights_by_id
        if weights_by_id == server_set.weights_by_id:
            self.current = server_set
            return False
        if self._settled:
            self.base = self.current
        for server_id in weights_by_id.keys() - server_set.weights_by_id.keys():
            self._left_at[server_id] = now
        for server_id in server_set.weights_by_id:
            self._left_at.pop(server_id, None)
        self._earlier.append((now, self.current))
        self.current = server_set
        self.changed_at = now
        self._settled = False
        return True

    def settle(self) -> None:
        """From now on a key without a record is new."""
        self._settled = True
        self.base = self.current

    def is_settled(self) -> bool:
        """Tell whether the latest change has settled."""
        return self._settled

    def expire(self, oldest: float) -> None:
        """Forget the sets that were replaced before `oldest`."""
        while self._earlier and self._earlier[0][0] < oldest:
            self._earlier.popleft()

    def is_ambiguous(self, key: int) -> bool:
        """Tell whether an earlier set chooses another server for the key."""
        if not self._earlier:
            return False
        chosen = self.current.choose_id(key)
        return any(past.choose_id(key) != chosen for _, past in self._earlier)

    def left_at(self, server_id: str) -> float | None:
        """Return when the server stopped to take new flows, None where it takes."""
        return self._left_at.get(server_id)
