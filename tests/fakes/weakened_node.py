"""A node without one mechanism, to show that the soak finds its absence."""

import sys

from hornbeamdeal.dsr import _catalog, _forwarder, _read_scheduler
from hornbeamdeal.platform.main import main

FAR_SHARE = 1_000.0


def without_freshness():
    """Never read because knowledge grows old."""
    _read_scheduler.ELECTED_READ_SHARE = FAR_SHARE
    _read_scheduler.FALLBACK_READ_SHARE = FAR_SHARE


def without_drain():
    """Place new flows on draining servers too."""

    def accepting_servers(self, service):
        servers = self.servers_by_id.values()
        return [server for server in servers if server.service == service]

    _catalog.Catalog.accepting_servers = accepting_servers


def without_handle():
    """Send packets of open flows to any server."""

    def continue_flow(self, segment, now):
        servers = list(self.catalog.servers_by_id.values())
        server = self._random.choice(servers)
        data = self.codec.encapsulate(segment.data, server.number)
        self.transmit(data, server.address)

    _forwarder.Forwarder._forward_established = continue_flow


if __name__ == "__main__":
    globals()[f"without_{sys.argv[2]}"]()
    main(sys.argv[1])
