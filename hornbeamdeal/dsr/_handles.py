"""Assigns handles to servers, and finds servers by the handles of packets."""

from collections.abc import Iterable

from ._records import Server, handle_of

# Handles that a server may have: hashes of its identifier, the first of which is its
# first choice.
HANDLE_CHOICES = 3


class HandleIndex:
    """Handles of the servers that a host knows.

    Of 15,000 servers two share their first choice with a probability of 2.6%. The one
    registered first has it, since open flows may carry it; the other gets its next
    choice. What this host has assigned it keeps for as long as the server is known,
    whatever is added or removed, so that packets of open flows find their server.

    Hosts that learned of the servers at different times can differ in the assignment:
    a host that starts once the first of two servers has left gives the other one its
    first choice. So here a first choice also stays reserved for the listed server that
    was registered first, and a handle that is not assigned is looked up among all
    choices.
    """

    __slots__ = (
        "_handles_by_id",
        "_listed",
        "_removed",
        "_servers_by_choice",
        "_servers_by_handle",
    )

    def __init__(self):
        self._handles_by_id: dict[str, int] = {}
        self._listed: list[Server] = []
        self._removed: list[Server] = []
        # Built when it is needed, as few packets carry a handle that is not assigned.
        self._servers_by_choice: dict[int, Server] | None = None
        self._servers_by_handle: dict[int, Server] = {}

    def update(self, listed: Iterable[Server], removed: Iterable[Server]) -> None:
        """Assign handles to the servers that are new, and forget unknown ones.

        `removed` are servers whose entries were removed while their flows may go on.
        """
        self._listed, self._removed = list(listed), list(removed)
        self._servers_by_choice = None
        known = {s.server_id: s for s in (*self._removed, *self._listed)}
        self._handles_by_id = {
            server_id: handle
            for server_id, handle in self._handles_by_id.items()
            if server_id in known
        }
        self._servers_by_handle = {
            handle: known[server_id]
            for server_id, handle in self._handles_by_id.items()
        }
        added = [s for i, s in known.items() if i not in self._handles_by_id]
        if added:
            self._assign(added)

    def find(self, handle: int) -> Server | None:
        """Return the server that has a handle, or may have it at another host."""
        return self._servers_by_handle.get(handle) or self.find_choice(handle)

    def find_choice(self, handle: int) -> Server | None:
        """Return the server that has a handle at a host that starts now.

        Of several that may have it that is the one registered first.
        """
        if self._servers_by_choice is None:
            self._servers_by_choice = {}
            for servers in (self._listed, self._removed):
                for server in sorted(servers, key=self.registration_order):
                    for choice in _choices(server):
                        self._servers_by_choice.setdefault(choice, server)
        return self._servers_by_choice.get(handle)

    def handle_of(self, server: Server) -> int | None:
        """Return the handle for a server's new flows, None if all choices are taken."""
        return self._handles_by_id.get(server.server_id)

    def holder_of_first_choice(self, server: Server) -> Server | None:
        """Return the server that has the handle which is a server's first choice."""
        return self._servers_by_handle.get(server.handle)

    def _assign(self, added: list[Server]) -> None:
        first_by_choice: dict[int, Server] = {}
        for server in self._listed:
            other = first_by_choice.setdefault(server.handle, server)
            if self.registration_order(server) < self.registration_order(other):
                first_by_choice[server.handle] = server
        for server in sorted(added, key=self.registration_order):
            for handle in _choices(server):
                is_reserved = first_by_choice.get(handle, server) is not server
                if handle not in self._servers_by_handle and not is_reserved:
                    self._handles_by_id[server.server_id] = handle
                    self._servers_by_handle[handle] = server
                    break

    @staticmethod
    def registration_order(server: Server) -> tuple[int, str]:
        """Return the sort key of servers that are assigned handles together."""
        return (server.created_revision, server.server_id)


def _choices(server: Server) -> list[int]:
    later = range(1, HANDLE_CHOICES)
    return [server.handle, *(handle_of(server.server_id, choice) for choice in later)]
