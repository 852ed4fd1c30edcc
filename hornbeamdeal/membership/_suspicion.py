"""Suspicion timeouts, with protection against faults of this host itself."""

import math

from hornbeamdeal.kernel import IncrementCounter, LogEvent

from ._table import MemberTable

# A host that receives no message for this long is probably isolated itself. Each
# member receives about two messages per second.
ISOLATION_SILENCE_SECONDS = 2.5
# An isolated or resumed host without contact declares no peer dead for this long.
MAXIMUM_SUSPENSION_SECONDS = 15.0
# Silence of a single peer does not show which of the two hosts is faulty.
ISOLATION_MINIMUM_PEERS = 2
# Share of the members that may be declared dead within one second. The loss of a
# rack (7% of a region) is not delayed; the loss of a zone takes a few seconds.
MAXIMUM_DEATH_SHARE_PER_SECOND = 0.2
DEATHS_PER_SECOND_FLOOR = 2
# Share of the timeout after which a confirmed suspicion expires. A refutation
# reaches 286 hosts in about one second.
CONFIRMED_TIMEOUT_SHARE = 0.5
# If more than this share of the members is suspect or dead at once, this host is
# probably on the smaller side of a partition, and every suspicion runs for the
# full timeout.
PARTITION_LOSS_SHARE = 0.5


class SuspicionTimers:
    """Declares suspects dead that did not refute the suspicion in time.

    `timeout` is in seconds.
    """

    __slots__ = (
        "contact_pending",
        "isolated",
        "last_contact",
        "table",
        "timeout",
        "_deaths_in_window",
        "_window_start",
    )

    def __init__(self, table: MemberTable, timeout: float, now: float):
        self.table = table
        self.timeout = timeout
        self.last_contact = now
        self.isolated = False
        self.contact_pending = False
        self._window_start = now
        self._deaths_in_window = 0

    def record_contact(self, now: float) -> None:
        """Record the receipt of a peer's message; it ends isolation."""
        self.last_contact = now
        self.contact_pending = False
        if self.isolated:
            self.isolated = False
            self.restart_suspicions(now)
            self.table.actions.append(LogEvent("isolation_ended"))

    def restart_suspicions(self, now: float) -> None:
        """Restart all suspicions, since the view of the members may be outdated."""
        for host_id in self.table.suspect_since_by_id:
            self.table.suspect_since_by_id[host_id] = now
            self.table.accusations.accusers_by_id.pop(host_id, None)

    def suspend_until_contact(self, now: float) -> None:
        """Suspend failure detection until a peer's message; restart all timers."""
        self.last_contact = now
        self.contact_pending = True
        self.restart_suspicions(now)

    def is_suspended(self, now: float) -> bool:
        """Return whether failure detection is suspended, as this host may be at fault.

        The suspension ends by itself after `MAXIMUM_SUSPENSION_SECONDS` without
        contact.
        """
        is_uncertain = self.isolated or self.contact_pending
        return is_uncertain and now - self.last_contact < MAXIMUM_SUSPENSION_SECONDS

    def tick(self, now: float) -> None:
        """Declare members dead whose suspicion has expired."""
        self._check_isolation(now)
        if self.is_suspended(now):
            return
        since_by_id = self.table.suspect_since_by_id
        confirmed_before = now - CONFIRMED_TIMEOUT_SHARE * self.timeout
        expired = [
            host_id
            for host_id, since in since_by_id.items()
            if now - since >= self.timeout
            or (since <= confirmed_before and self._is_confirmed(host_id, now))
        ]
        for host_id in expired[: self._remaining_deaths(now) if expired else 0]:
            self._deaths_in_window += 1
            self.table.declare_dead(host_id, now)

    def _is_confirmed(self, host_id: str, now: float) -> bool:
        table = self.table
        if now < table.rejoin_grace_until:
            return False
        lost = len(table.suspect_since_by_id) + len(table.dead_since_by_id)
        if lost > PARTITION_LOSS_SHARE * len(table.members_by_id):
            return False
        return table.accusations.is_confirmed(host_id)

    def _check_isolation(self, now: float) -> None:
        if self.isolated or now - self.last_contact < ISOLATION_SILENCE_SECONDS:
            return
        if len(self.table.peer_ids()) < ISOLATION_MINIMUM_PEERS:
            return
        self.isolated = True
        self.table.actions.append(IncrementCounter("membership_isolations"))
        self.table.actions.append(LogEvent("isolation_started", level="warning"))

    def _remaining_deaths(self, now: float) -> int:
        if now - self._window_start >= 1.0:
            self._window_start = now
            self._deaths_in_window = 0
        share = MAXIMUM_DEATH_SHARE_PER_SECOND * len(self.table.members_by_id)
        return max(DEATHS_PER_SECOND_FLOOR, math.ceil(share)) - self._deaths_in_window
