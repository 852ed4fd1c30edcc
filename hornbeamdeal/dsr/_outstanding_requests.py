"""Requests under way at each server, as one host sees them."""

from ._flow_table import Flow
from ._records import Server

# A flow counts no longer than this: its caller has given up, or is idle.
MAXIMUM_WAIT_SECONDS = 3.0


class OutstandingRequests:
    """Counts flows that wait for their server.

    A flow waits from its placement, since the request follows the handshake,
    and again from each new request, until its caller acknowledges more of what
    the server sent. Responses do not come by here, so the caller's packets
    tell.
    """

    __slots__ = ("_counts_by_id",)

    def __init__(self):
        self._counts_by_id: dict[str, int] = {}

    def count(self, server_id: str) -> int:
        """Return the number of flows that wait for a server."""
        return self._counts_by_id.get(server_id, 0)

    def start(self, flow: Flow, server: Server, now: float) -> None:
        """Count a flow for a server, and no longer for another one."""
        if flow.awaited_server is server:
            return
        self.finish(flow)
        flow.awaited_server = server
        flow.awaited_since = now
        self._counts_by_id[server.server_id] = self.count(server.server_id) + 1

    def finish(self, flow: Flow) -> None:
        """Stop to count a flow."""
        if flow.awaited_server is None:
            return
        server_id = flow.awaited_server.server_id
        flow.awaited_server = None
        remaining = self.count(server_id) - 1
        if remaining > 0:
            self._counts_by_id[server_id] = remaining
        else:
            self._counts_by_id.pop(server_id, None)

    def expire(self, flow: Flow, now: float) -> None:
        """Stop to count a flow that has waited for too long."""
        if (
            flow.awaited_server is not None
            and now - flow.awaited_since > MAXIMUM_WAIT_SECONDS
        ):
            self.finish(flow)
