"""Exchange of answer time samples between the hosts of a zone."""

import math
from typing import Any

from hornbeamdeal.wire import peer_types

from ._base import Journal
from ._catalog import Catalog
from ._server_speeds import ServerSpeeds

REPORT_INTERVAL_SECONDS = 1.0
# Number of random peers of the own zone that receive a report.
REPORT_PEERS = 8
# Servers in a report, those with most samples first. With 8 peers this bounds the
# traffic to a few kilobytes a second, whatever the number of servers.
MAXIMUM_REPORTED_SERVERS = 16
# Samples of one server that a report counts for at most, so that one faulty host can't
# outweigh all others.
MAXIMUM_REPORTED_SAMPLES = 6


class SpeedExchange:
    """Makes and applies `ServerSpeeds` messages.

    A report holds the samples of one host that it has not reported yet, so that each
    counts once at each receiver. Reports are neither acknowledged nor passed on: a lost
    one costs a few samples.

    Parameters
    ----------
    server_speeds : ServerSpeeds
        This host's estimates.
    catalog : Catalog
        Servers in force; reports on others are ignored.
    journal : Journal
        Receives counters.
    """

    __slots__ = ("catalog", "journal", "server_speeds", "_next_report_at")

    def __init__(
        self, *, server_speeds: ServerSpeeds, catalog: Catalog, journal: Journal
    ):
        self.server_speeds = server_speeds
        self.catalog = catalog
        self.journal = journal
        self._next_report_at = float("-inf")

    def make_report(self, now: float) -> Any:
        """Return the message that is due now, None if there is nothing to report."""
        if now < self._next_report_at:
            return None
        self._next_report_at = now + REPORT_INTERVAL_SECONDS
        unsent = self.server_speeds.pop_unsent(MAXIMUM_REPORTED_SERVERS, now)
        if not unsent:
            return None
        speeds = []
        for server_id, samples, ratio in unsent:
            samples = min(samples, MAXIMUM_REPORTED_SAMPLES)
            speeds.append(peer_types.ServerSpeed(server_id, samples, samples * ratio))
        return peer_types.ServerSpeeds(speeds)

    def apply(self, message: Any, now: float) -> None:
        """Apply a peer's report; ignore and count what can't be used."""
        speeds = message.speeds or ()
        if len(speeds) > MAXIMUM_REPORTED_SERVERS:
            self._ignore("too_many")
        for speed in speeds[:MAXIMUM_REPORTED_SERVERS]:
            server = self.catalog.servers_by_id.get(speed.server_id)
            samples, ratio_sum = speed.samples, speed.ratio_sum
            if server is None:
                self._ignore("unknown_server")
            elif not samples or samples < 0 or not _is_positive(ratio_sum):
                self._ignore("malformed")
            else:
                count = min(samples, MAXIMUM_REPORTED_SAMPLES)
                ratio = ratio_sum / samples
                self.server_speeds.record_peer_samples(server, count, ratio, now)

    def _ignore(self, reason: str) -> None:
        self.journal.count("server_speeds_ignored", reason)


def _is_positive(number: float | None) -> bool:
    return number is not None and math.isfinite(number) and number > 0
