"""Runs a node without one mechanism, to check that the soak then fails.

Arguments: the packet address, then the mechanism: freshness, drain, handle, epoch,
evacuation, evacuation_news, slow_start or stalled_flows.
"""

import sys

from hornbeamdeal.dsr import (
    _catalog,
    _evacuations,
    _forwarder,
    _peer_sync,
    _read_scheduler,
    _server_health,
    _slow_start,
)
from hornbeamdeal.platform import _store
from hornbeamdeal.platform.main import main

NEVER_DUE_SHARE = 1_000.0


def without_freshness():
    """Disable reads of the store that are due because of the catalog's age."""
    _read_scheduler.ELECTED_READ_SHARE = NEVER_DUE_SHARE
    _read_scheduler.FALLBACK_READ_SHARE = NEVER_DUE_SHARE


def without_drain():
    """Place new flows also on draining servers."""

    def accepting_servers(self, service):
        servers = self.servers_by_id.values()
        return [server for server in servers if server.service == service]

    _catalog.Catalog.accepting_servers = accepting_servers


def without_handle():
    """Forward packets of open flows to a random server."""

    def forward_established(self, packet, now, arrived_at):
        servers = list(self.catalog.servers_by_id.values())
        server = self._random.choice(servers)
        data = self.codec.encapsulate(packet.data, server.number)
        self.transmit(data, server.address)

    _forwarder.Forwarder._forward_established = forward_established


def without_epoch():
    """Take revisions of all histories of the store as those of one."""
    _store._decode_epoch = lambda response: 1
    _catalog.Catalog.lose_history = lambda self: None


def without_evacuation():
    """Place new flows also on servers of evacuated zones."""
    _evacuations.ZoneEvacuations.is_evacuated = lambda self, zone: False


def without_evacuation_news():
    """Tell peers nothing of evacuations, in updates, full copies and fingerprints.

    With fingerprints, hosts notice that they differ and read the store.
    """
    encode_news = _peer_sync.encode_news

    def encode_without_zones(update, **fields):
        message = encode_news(update, **fields)
        message.zones = []
        message.fingerprint = None
        return message

    _peer_sync.encode_news = encode_without_zones


def without_slow_start():
    """Place new flows on cold servers as on others."""
    _slow_start.SlowStart.is_enabled = False


def without_stalled_flows():
    """Take servers for dead by unanswered opening packets too."""

    def has_independent_sources(self):
        callers = {packet.caller for packet in self.unanswered}
        hosts = {packet.host for packet in self.unanswered}
        return len(callers) > 1 and len(hosts) > 1

    _server_health.HealthRecord._has_independent_stalls = has_independent_sources


if __name__ == "__main__":
    globals()[f"without_{sys.argv[2]}"]()
    main(sys.argv[1])
