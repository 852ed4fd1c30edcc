"""Counts of outstanding requests by server, as seen by one host."""

from ._flow_table import Flow
from ._records import Server

# A flow is no longer counted from the next sweep after this time; its caller has
# then given up or is idle.
MAXIMUM_WAIT_SECONDS = 3.0


class OutstandingRequests:
    """Counts flows that await an answer of their server.

    A flow is counted from its placement, as the request follows the handshake, and
    again from each new request, until its caller acknowledges more data from the
    server. The host doesn't see responses, so it infers them from the caller's
    acknowledgements.
    """

    __slots__ = ("waiting_flows_", "_counts_by_id")

    def __init__(self):
        # A dictionary keeps the order in which the waits began, so that runs repeat.
        self.waiting_flows_: dict[Flow, None] = {}
        self._counts_by_id: dict[str, int] = {}

    def count(self, server_id: str) -> int:
        """Return the number of flows that await an answer of a server."""
        return self._counts_by_id.get(server_id, 0)

    def start(self, flow: Flow, server: Server, now: float) -> None:
        """Count a flow for a server, and no longer for its previous one."""
        if flow.awaited_server is server:
            return
        self.finish(flow)
        flow.awaited_server = server
        flow.awaited_since = now
        self.waiting_flows_[flow] = None
        self._counts_by_id[server.server_id] = self.count(server.server_id) + 1

    def finish(self, flow: Flow) -> None:
        """Stop counting a flow."""
        if flow.awaited_server is None:
            return
        server_id = flow.awaited_server.server_id
        flow.awaited_server = None
        del self.waiting_flows_[flow]
        remaining = self.count(server_id) - 1
        if remaining > 0:
            self._counts_by_id[server_id] = remaining
        else:
            self._counts_by_id.pop(server_id, None)

    def is_expired(self, flow: Flow, now: float) -> bool:
        """Return whether a counted flow has waited for too long."""
        return (
            flow.awaited_server is not None
            and now - flow.awaited_since > MAXIMUM_WAIT_SECONDS
        )
