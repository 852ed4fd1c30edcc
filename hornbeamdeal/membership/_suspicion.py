"""Expiry of suspicions, with protection against the host's own faults."""

import math

from hornbeamdeal.kernel import Count, LogEvent

from ._table import MemberTable

# A host that hears nobody for this long is probably cut off itself. Each
# member receives about two messages a second.
ISOLATION_SILENCE_SECONDS = 2.5
# How long an isolated host keeps its view before it gives its peers up.
ISOLATION_HOLD_SECONDS = 15.0
# Silence of a single peer says nothing on whose side the fault is.
ISOLATION_MINIMUM_PEERS = 2
# Share of the members that may be declared dead within a second. The loss of
# a rack (7% of a region) is not delayed; that of a zone takes a few seconds.
DEATH_SHARE_PER_SECOND = 0.2
MINIMUM_DEATHS_PER_SECOND = 2
# Share of the time-out after which a suspicion that several hosts confirmed
# ends. A refutation reaches 286 hosts in about a second.
CONFIRMED_SHARE = 0.5
# With more than this share of the members suspect or lost at once, the own
# side is probably the smaller part of a partition, and all time-outs are full.
PLAUSIBLE_LOSS_SHARE = 0.5


class SuspicionTimers:
    """Declares suspects dead when nobody refuted the suspicion in time."""

    __slots__ = (
        "heard_at",
        "isolated",
        "recheck_pending",
        "table",
        "timeout",
        "_deaths",
        "_window_start",
    )

    def __init__(self, table: MemberTable, timeout: float, now: float):
        self.table = table
        self.timeout = timeout
        self.heard_at = now
        self.isolated = False
        self.recheck_pending = False
        self._window_start = now
        self._deaths = 0

    def note_contact(self, now: float) -> None:
        """Take note that a peer's message arrived."""
        self.heard_at = now
        self.recheck_pending = False
        if self.isolated:
            self.isolated = False
            self.restart(now)
            self.table.actions.append(LogEvent("isolation_ended"))

    def restart(self, now: float) -> None:
        """Start all suspicions anew: what was known before may be old."""
        for host_id in self.table.suspect_since_by_id:
            self.table.suspect_since_by_id[host_id] = now
            self.table.accusations.accusers_by_id.pop(host_id, None)

    def require_contact(self, now: float) -> None:
        """Trust no suspicion until a peer was heard, and then for a full timeout."""
        self.heard_at = now
        self.recheck_pending = True
        self.restart(now)

    def is_holding(self, now: float) -> bool:
        """Tell whether the own facts are too doubtful to act on."""
        in_doubt = self.isolated or self.recheck_pending
        return in_doubt and now - self.heard_at < ISOLATION_HOLD_SECONDS

    def tick(self, now: float) -> None:
        """Declare dead whose suspicion ran out."""
        self._check_isolation(now)
        if self.is_holding(now):
            return
        since_by_id = self.table.suspect_since_by_id
        confirmed_before = now - CONFIRMED_SHARE * self.timeout
        expired = [
            host_id
            for host_id, since in since_by_id.items()
            if now - since >= self.timeout
            or (since <= confirmed_before and self._is_confirmed(host_id, now))
        ]
        for host_id in expired[: self._allowance(now) if expired else 0]:
            self._deaths += 1
            self.table.declare_dead(host_id, now)

    def _is_confirmed(self, host_id: str, now: float) -> bool:
        table = self.table
        if now < table.rejoin_grace_until:
            return False
        lost = len(table.suspect_since_by_id) + len(table.dead_since_by_id)
        if lost > PLAUSIBLE_LOSS_SHARE * len(table.members_by_id):
            return False
        return table.accusations.is_confirmed(host_id)

    def _check_isolation(self, now: float) -> None:
        if self.isolated or now - self.heard_at < ISOLATION_SILENCE_SECONDS:
            return
        if len(self.table.peer_ids()) < ISOLATION_MINIMUM_PEERS:
            return
        self.isolated = True
        self.table.actions.append(Count("membership_isolations"))
        self.table.actions.append(LogEvent("isolation_started", level="warning"))

    def _allowance(self, now: float) -> int:
        if now - self._window_start >= 1.0:
            self._window_start = now
            self._deaths = 0
        share = DEATH_SHARE_PER_SECOND * len(self.table.members_by_id)
        return max(MINIMUM_DEATHS_PER_SECOND, math.ceil(share)) - self._deaths
