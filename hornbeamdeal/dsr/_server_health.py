"""Passive health checks of servers, from what their callers send.

Hosts see only callers' packets, so whether a server is alive follows from what
its callers send next. Each host sees a small part of a server's flows, so hosts
exchange reports of unanswered packets and of servers seen alive.
"""

from ._arrival_bound import ArrivalBound
from ._records import Server

# Unanswered packets count for this long; a server with little traffic has few.
UNANSWERED_WINDOW_SECONDS = 2.0
# Unanswered opening packets that take a server out of rotation. A live server
# answers each within a millisecond unless a datagram is lost.
OUT_MINIMUM_OPENINGS = 2
# Each host probes a server that is out with one opening packet per interval, which
# is also sent to a second server.
TRIAL_INTERVAL_SECONDS = 2.0
# A server is dead once open flows of this many callers at this many hosts have stalled
# and no host has seen it alive for the given time. A single caller or host can't
# distinguish a silent server from a fault of its own link. Unanswered opening packets
# are no evidence: a server that holds as many flows as it can ignores them. They only
# shorten the silence.
DEAD_MINIMUM_CALLERS = 2
DEAD_MINIMUM_HOSTS = 2
DEAD_SILENCE_SECONDS = 0.35
STALLED_SILENCE_SECONDS = 0.8
# A flow has stalled at its second retransmission. A live server, full or not, repeats
# its acknowledgement when data is retransmitted, so a second retransmission to it is
# rare; the first is common where a request takes longer than the caller's timer.
STALLED_MINIMUM_RETRANSMISSIONS = 2
# A removed server counts as dead if it was found dead within this time. A crashed
# server's entry expires after three missed reports, when its unanswered packets
# are one or two seconds old; a server that is reachable again has reported by then.
RECENT_DEATH_SECONDS = 3.0


class UnansweredPacket:
    """A packet to which a server has not reacted.

    `sent_at` is the monotonic time at which the host last forwarded it, before
    the caller sent it again. `caller` is a hash of the caller's address, `host`
    the reporting peer, empty for this host. `retransmissions` is 0 for an opening
    packet.
    """

    __slots__ = ("caller", "host", "retransmissions", "sent_at")

    def __init__(
        self, sent_at: float, caller: int, retransmissions: int, host: str = ""
    ):
        self.sent_at = sent_at
        self.caller = caller
        self.retransmissions = retransmissions
        self.host = host

    @property
    def is_opening(self) -> bool:
        """Return whether the packet opened a flow."""
        return self.retransmissions == 0

    @property
    def is_stalled(self) -> bool:
        """Return whether a live server would have acknowledged the data."""
        return self.retransmissions >= STALLED_MINIMUM_RETRANSMISSIONS


class HealthRecord:
    """Health of one server. Times are monotonic seconds.

    A server makes progress when a flow shows it alive: `local_progress_at` is when
    a flow at this host last did, `progress_at` when a flow at any host did.
    `died_at` is when the server last met the criteria of a dead one, minus
    infinity if it has been seen alive since.
    """

    __slots__ = (
        "died_at",
        "is_dead",
        "is_out",
        "local_progress_at",
        "progress_at",
        "unanswered",
        "trial_due",
    )

    def __init__(self):
        self.local_progress_at = float("-inf")
        self.progress_at = float("-inf")
        self.unanswered: list[UnansweredPacket] = []
        self.is_out = False
        self.is_dead = False
        self.died_at = float("-inf")
        self.trial_due = 0.0

    def count_unanswered_openings(self) -> int:
        """Return the number of unanswered opening packets."""
        return sum(packet.is_opening for packet in self.unanswered)

    def meets_death_criteria(self, now: float, resumed_at: float) -> bool:
        """Return whether open flows have stalled as they do at no live server.

        Old unanswered packets are dropped: the server may be back unnoticed. Time
        before `resumed_at`, when this host was behind with its packets, is no silence
        of the server.
        """
        self.unanswered = [
            p for p in self.unanswered if now - p.sent_at < UNANSWERED_WINDOW_SECONDS
        ]
        if not self.unanswered:
            return False
        first_sent_at = min(packet.sent_at for packet in self.unanswered)
        silence = now - max(self.progress_at, first_sent_at, resumed_at)
        minimum = DEAD_SILENCE_SECONDS if self.is_out else STALLED_SILENCE_SECONDS
        return silence >= minimum and self._has_independent_stalls()

    def describe_unanswered(self, now: float, resumed_at: float) -> dict[str, int]:
        """Return log fields that summarize the unanswered packets."""
        first_sent_at = min((p.sent_at for p in self.unanswered), default=now)
        stalled = [packet for packet in self.unanswered if packet.is_stalled]
        is_known = resumed_at > float("-inf")
        return {
            "openings": self.count_unanswered_openings(),
            "repeated": len(self.unanswered) - self.count_unanswered_openings(),
            "callers": len({packet.caller for packet in self.unanswered}),
            "hosts": len({packet.host for packet in self.unanswered}),
            "stalled_callers": len({packet.caller for packet in stalled}),
            "stalled_hosts": len({packet.host for packet in stalled}),
            "silence_ms": round(1000 * (now - max(self.progress_at, first_sent_at))),
            "caught_up_ms": round(1000 * (now - resumed_at)) if is_known else -1,
        }

    def _has_independent_stalls(self) -> bool:
        stalled = [packet for packet in self.unanswered if packet.is_stalled]
        callers = {packet.caller for packet in stalled}
        hosts = {packet.host for packet in stalled}
        return len(callers) >= DEAD_MINIMUM_CALLERS and len(hosts) >= DEAD_MINIMUM_HOSTS


class ServerHealth:
    """Decides from this host's and peers' reports which servers are out or dead.

    A server that leaves opening packets unanswered is out and gets no new flows; it may
    be full. One at which open flows have stalled is dead: its flows are reset, so that
    their callers reconnect elsewhere at once.

    Parameters
    ----------
    arrivals : ArrivalBound or None
        Says since when this host has kept up with its packets.
    """

    __slots__ = ("arrivals", "records_by_id", "_changes", "_recovered", "_unsent")

    def __init__(self, arrivals: ArrivalBound | None = None):
        self.arrivals = arrivals or ArrivalBound()
        self.records_by_id: dict[str, HealthRecord] = {}
        self._changes: list[tuple[str, str, dict[str, int]]] = []
        self._recovered: list[str] = []
        self._unsent: list[tuple[str, UnansweredPacket]] = []

    def record_local_progress(self, server_id: str, now: float) -> None:
        """Record a server's progress, which a flow at this host showed."""
        record = self._record_of(server_id)
        record.local_progress_at = now
        was_out = record.is_out
        self.record_progress(server_id, now)
        if was_out and not record.is_out:
            self._recovered.append(server_id)

    def record_progress(self, server_id: str, at: float) -> None:
        """Record a server's progress at a monotonic time."""
        record = self._record_of(server_id)
        if at <= record.progress_at:
            return
        record.progress_at = at
        record.died_at = float("-inf")
        record.unanswered = [p for p in record.unanswered if p.sent_at > at]
        if record.is_out and record.count_unanswered_openings() < OUT_MINIMUM_OPENINGS:
            record.is_out = record.is_dead = False
            self._changes.append((server_id, "server_back", {}))

    def record_unanswered(
        self, server_id: str, packet: UnansweredPacket, now: float
    ) -> None:
        """Record a packet to which a server has not reacted."""
        record = self._record_of(server_id)
        if packet.sent_at <= record.progress_at:
            return
        recent = [
            p for p in record.unanswered if now - p.sent_at < UNANSWERED_WINDOW_SECONDS
        ]
        record.unanswered = [*recent, packet]
        if not packet.host and (packet.is_opening or packet.is_stalled):
            self._unsent.append((server_id, packet))
        if (
            not record.is_out
            and record.count_unanswered_openings() >= OUT_MINIMUM_OPENINGS
        ):
            record.is_out = True
            record.trial_due = now + TRIAL_INTERVAL_SECONDS
            self._record_change(server_id, "server_out", record, now)

    def is_out(self, server_id: str) -> bool:
        """Return whether a server gets no new flows."""
        record = self.records_by_id.get(server_id)
        return record is not None and record.is_out

    def is_dead(self, server_id: str, now: float) -> bool:
        """Return whether a server is dead, so that its flows are lost."""
        record = self.records_by_id.get(server_id)
        if record is None or not (record.unanswered or record.is_dead):
            return False
        resumed_at = self.arrivals.resumed_at
        meets_death_criteria = record.meets_death_criteria(now, resumed_at)
        if meets_death_criteria and not record.is_dead:
            record.is_out = True
            record.trial_due = now + TRIAL_INTERVAL_SECONDS
            self._record_change(server_id, "server_dead", record, now)
        record.is_dead = meets_death_criteria
        if meets_death_criteria:
            record.died_at = now
        return meets_death_criteria

    def died_recently(self, server_id: str, now: float) -> bool:
        """Return whether a server was recently dead and not seen alive since."""
        record = self.records_by_id.get(server_id)
        return record is not None and now - record.died_at < RECENT_DEATH_SECONDS

    def dead_ids(self, now: float) -> set[str]:
        """Return the ids of dead servers."""
        return {i for i in self.records_by_id if self.is_dead(i, now)}

    def progress_at(self, server_id: str) -> float:
        """Return the monotonic time of a server's last progress."""
        record = self.records_by_id.get(server_id)
        return record.progress_at if record else float("-inf")

    def local_progress_at(self, server_id: str) -> float:
        """Return the monotonic time of a server's last progress at this host."""
        record = self.records_by_id.get(server_id)
        return record.local_progress_at if record else float("-inf")

    def pick_trial_server(self, servers: list[Server], now: float) -> Server | None:
        """Return a server that is out and due for a trial, or None.

        The server's next trial is then due after another interval.
        """
        for server in servers:
            record = self.records_by_id.get(server.server_id)
            if record is None or not record.is_out:
                continue
            if now >= record.trial_due:
                record.trial_due = now + TRIAL_INTERVAL_SECONDS
                return server
        return None

    def discard(self, server_id: str) -> None:
        """Discard the health of a server that is no longer listed."""
        self.records_by_id.pop(server_id, None)

    def pop_unsent(self) -> list[tuple[str, UnansweredPacket]]:
        """Return and clear this host's unanswered packets not yet reported to peers."""
        unsent, self._unsent = self._unsent, []
        return unsent

    def pop_recovered(self) -> list[str]:
        """Return and clear the ids of recovered servers not yet reported to peers."""
        recovered, self._recovered = self._recovered, []
        return recovered

    def pop_changes(self) -> list[tuple[str, str, dict[str, int]]]:
        """Return and clear health changes: server id, event name and log fields."""
        changes, self._changes = self._changes, []
        return changes

    def _record_change(
        self, server_id: str, change: str, record: HealthRecord, now: float
    ) -> None:
        fields = record.describe_unanswered(now, self.arrivals.resumed_at)
        self._changes.append((server_id, change, fields))

    def _record_of(self, server_id: str) -> HealthRecord:
        record = self.records_by_id.get(server_id)
        if record is None:
            record = self.records_by_id[server_id] = HealthRecord()
        return record
