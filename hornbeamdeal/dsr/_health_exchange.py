"""Exchange of signs that servers are alive or silent between hosts."""

import random
from typing import Any

from hornbeamdeal.wire import peer_types

from ._base import Journal
from ._catalog import Catalog
from ._server_health import UNANSWERED_WINDOW_SECONDS, ServerHealth, UnansweredPacket

# Mean number of hosts that refute a report when many have seen the server alive.
MEAN_REFUTING_HOSTS = 8
# Age in reports on servers that this host has not seen alive.
NO_PROGRESS_AGE = -1


class HealthExchange:
    """Makes and applies `ServerSigns` messages.

    Parameters
    ----------
    server_health : ServerHealth
        Evidence of this host and of its peers.
    catalog : Catalog
        Servers in force; reports on others are ignored.
    journal : Journal
        Receives counters.
    random_state : random.Random
        Chooses which of many hosts refute a report.
    """

    __slots__ = ("catalog", "journal", "server_health", "_random")

    def __init__(
        self,
        *,
        server_health: ServerHealth,
        catalog: Catalog,
        journal: Journal,
        random_state: random.Random,
    ):
        self.server_health = server_health
        self.catalog = catalog
        self.journal = journal
        self._random = random_state

    def make_report(self, now: float) -> Any:
        """Return what this host has seen since the last report, None if nothing."""
        signs_by_id: dict[str, list[Any]] = {
            server_id: [] for server_id in self.server_health.pop_recovered()
        }
        for server_id, packet in self.server_health.pop_unsent():
            age_ms = round(1000 * (now - packet.sent_at))
            sign = peer_types.Sign(age_ms, packet.caller, packet.retransmissions)
            signs_by_id.setdefault(server_id, []).append(sign)
        return self._message_on(signs_by_id, now)

    def apply(self, message: Any, host: str, peer_count: int, now: float) -> Any:
        """Apply a peer's report; return what refutes it, None if nothing does.

        In a large fleet only a few hosts refute a report.
        """
        refuted_ids = set()
        for report in message.signs or ():
            if report.server_id not in self.catalog.servers_by_id:
                continue
            if not _is_usable(report):
                self.journal.count("peer_messages_dropped", "malformed_report")
                continue
            if self._apply_report(report, host, now):
                refuted_ids.add(report.server_id)
        progress_at = self.server_health.local_progress_at
        signs_by_id: dict[str, list[Any]] = {
            server_id: []
            for server_id in refuted_ids
            if now - progress_at(server_id) < UNANSWERED_WINDOW_SECONDS
        }
        if signs_by_id and self._random.random() * peer_count > MEAN_REFUTING_HOSTS:
            return None
        return self._message_on(signs_by_id, now)

    def _apply_report(self, report: Any, host: str, now: float) -> bool:
        """Apply a report on one server; return whether it was seen alive since."""
        server_id, is_refuted = report.server_id, False
        if report.progress_age_ms >= 0:
            at = now - report.progress_age_ms / 1000
            self.server_health.record_progress(server_id, at)
        for sign in report.signs or ():
            sent_at = now - sign.age_ms / 1000
            packet = UnansweredPacket(sent_at, sign.caller, sign.repetitions, host)
            if self.server_health.progress_at(server_id) >= sent_at:
                is_refuted = True
            elif now - sent_at < UNANSWERED_WINDOW_SECONDS:
                self.server_health.record_unanswered(server_id, packet, now)
        return is_refuted

    def _message_on(self, signs_by_id: dict[str, list[Any]], now: float) -> Any:
        reports = [
            peer_types.ServerSign(server_id, signs, self._progress_age(server_id, now))
            for server_id, signs in signs_by_id.items()
        ]
        return peer_types.ServerSigns(reports) if reports else None

    def _progress_age(self, server_id: str, now: float) -> int:
        """Return the milliseconds since a flow at this host showed a server alive."""
        age = now - self.server_health.local_progress_at(server_id)
        return round(1000 * age) if age < UNANSWERED_WINDOW_SECONDS else NO_PROGRESS_AGE


def _is_usable(report: Any) -> bool:
    """Return whether a peer's report on a server has all its numbers."""
    numbers = [report.progress_age_ms]
    for sign in report.signs or ():
        numbers += [sign.age_ms, sign.caller, sign.repetitions]
    return None not in numbers and min(numbers) >= NO_PROGRESS_AGE
