"""When servers stop being cold, by their entries in the store."""

from collections.abc import Callable

from ._records import Server


class ColdTimes:
    """Times at which servers stop or stopped being cold, kept until they have warmed up.

    They are counted from when an entry was learned, which was written earlier, so they
    never end too soon.

    Attributes
    ----------
    until_by_id : dict of str to float
        Monotonic times by server.
    latest_until : float
        No server is cold by its entry from this monotonic time on.
    """

    __slots__ = ("latest_until", "until_by_id")

    def __init__(self):
        self.latest_until = float("-inf")
        self.until_by_id: dict[str, float] = {}

    def until(self, server_id: str) -> float:
        """Return when a server stops or stopped being cold, minus infinity if not."""
        return self.until_by_id.get(server_id, float("-inf"))

    def update(self, server: Server, now: float, is_new_epoch: bool) -> None:
        """Follow a server's new entry, which may tell that its cold time is over.

        The end is kept, since the warm-up counts from it. The entry of a restored store
        may be older than the server's latest start, so it only prolongs the cold time.
        """
        known = self.until_by_id.get(server.server_id)
        if server.cold_seconds > 0:
            until = now + server.cold_seconds
            if known is not None and is_new_epoch:
                until = max(until, known)
        elif known is None:
            return
        else:
            until = known if is_new_epoch else min(known, now)
        self.until_by_id[server.server_id] = until
        self.latest_until = max(self.latest_until, until)

    def discard(self, server_id: str) -> None:
        """Forget a server that has left."""
        self.until_by_id.pop(server_id, None)

    def expire(self, now: float, warm_up_seconds: Callable[[str], float]) -> None:
        """Forget the servers that have warmed up."""
        self.until_by_id = {
            server_id: until
            for server_id, until in self.until_by_id.items()
            if now < until + warm_up_seconds(server_id)
        }
        self.latest_until = max(self.until_by_id.values(), default=float("-inf"))
