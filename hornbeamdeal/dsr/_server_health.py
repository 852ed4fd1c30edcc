"""Evidence on servers from the flows that went on and those that did not.

Only callers' packets come by a host, so a server proves itself alive through
what its callers do next. Each host sees a small part of a server's flows, so
hosts tell each other what speaks against a server and what refutes it.
"""

from ._records import Server

# A sign counts for this long; a server with little traffic gets few.
UNANSWERED_WINDOW_SECONDS = 2.0
# Opening packets without an answer from which on a server gets no new flows.
# A living server answers each within a millisecond unless a datagram is lost.
OUT_MINIMUM_OPENINGS = 2
# One opening packet a host tries such a server again after this long, and goes
# to a second server at the same time.
TRIAL_INTERVAL_SECONDS = 2.0
# A server is dead where this many packets of several callers at several hosts
# got no reaction, and nobody has seen it alive for so long. One host alone can't
# tell a server's silence from trouble on its own link.
DEAD_MINIMUM_PACKETS = 3
DEAD_MINIMUM_CALLERS = 2
DEAD_MINIMUM_HOSTS = 2
DEAD_SILENCE_SECONDS = 0.35
# The same from open flows alone. A living server repeats its acknowledgement
# when data is repeated, so a second repetition is rarely its fault; the first
# is common where work takes longer than the caller's timer.
STALLED_MINIMUM_RETRANSMISSIONS = 2
STALLED_MINIMUM_CALLERS = 2
STALLED_SILENCE_SECONDS = 0.8
# A death counts for this long beside a missing entry. A crashed server's entry
# goes after three of its reports, when its signs are a second or two old; one that
# was cut off and is back has reported again by then.
RECENT_DEATH_SECONDS = 3.0


class UnansweredPacket:
    """A packet that a server has not reacted to.

    `sent_at` is the monotonic time at which the host had forwarded it before,
    `caller` a hash of the caller's address, `retransmissions` 0 for an opening
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


class HealthRecord:
    """What is known of one server. Times are monotonic seconds.

    `died_at` is when signs last showed its death, unless it proved alive since.
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
        """Count the opening packets without an answer."""
        return sum(packet.retransmissions == 0 for packet in self.unanswered)

    def meets_death_criteria(self, now: float) -> bool:
        """Tell whether a living server would have been noticed.

        Old signs tell nothing: the server may have come back unnoticed.
        """
        self.unanswered = [
            s for s in self.unanswered if now - s.sent_at < UNANSWERED_WINDOW_SECONDS
        ]
        if not self.unanswered:
            return False
        first_sent_at = min(packet.sent_at for packet in self.unanswered)
        silence = now - max(self.progress_at, first_sent_at)
        if (
            self.is_out
            and silence >= DEAD_SILENCE_SECONDS
            and self._has_independent_sources()
        ):
            return True
        stalled = [
            s
            for s in self.unanswered
            if s.retransmissions >= STALLED_MINIMUM_RETRANSMISSIONS
        ]
        callers = {packet.caller for packet in stalled}
        return (
            len(callers) >= STALLED_MINIMUM_CALLERS
            and len(self._reporting_hosts()) >= DEAD_MINIMUM_HOSTS
            and silence >= STALLED_SILENCE_SECONDS
        )

    def describe_unanswered(self, now: float) -> dict[str, int]:
        """Return what speaks against the server, for the log."""
        first_sent_at = min((s.sent_at for s in self.unanswered), default=now)
        return {
            "openings": self.count_unanswered_openings(),
            "repeated": len(self.unanswered) - self.count_unanswered_openings(),
            "callers": len({packet.caller for packet in self.unanswered}),
            "hosts": len(self._reporting_hosts()),
            "silence_ms": round(1000 * (now - max(self.progress_at, first_sent_at))),
        }

    def _has_independent_sources(self) -> bool:
        callers = {packet.caller for packet in self.unanswered}
        return (
            len(self.unanswered) >= DEAD_MINIMUM_PACKETS
            and len(callers) >= DEAD_MINIMUM_CALLERS
            and len(self._reporting_hosts()) >= DEAD_MINIMUM_HOSTS
        )

    def _reporting_hosts(self) -> set[str]:
        return {packet.host for packet in self.unanswered}


class ServerHealth:
    """Decides from own and peers' evidence which servers are out or dead.

    A server that is out gets no new flows. Open flows of a dead one are reset,
    so that their callers go on elsewhere at once.
    """

    __slots__ = ("records_by_id", "_changes", "_recovered", "_unsent")

    def __init__(self):
        self.records_by_id: dict[str, HealthRecord] = {}
        self._changes: list[tuple[str, str, dict[str, int]]] = []
        self._recovered: list[str] = []
        self._unsent: list[tuple[str, UnansweredPacket]] = []

    def record_local_progress(self, server_id: str, now: float) -> None:
        """Take note that a flow at this host proved a server alive."""
        record = self._record_of(server_id)
        record.local_progress_at = now
        was_out = record.is_out
        self.record_progress(server_id, now)
        if was_out and not record.is_out:
            self._recovered.append(server_id)

    def record_progress(self, server_id: str, at: float) -> None:
        """Take note that a server was alive at a time."""
        record = self._record_of(server_id)
        if at <= record.progress_at:
            return
        record.progress_at = at
        record.died_at = float("-inf")
        record.unanswered = [s for s in record.unanswered if s.sent_at > at]
        if record.is_out and record.count_unanswered_openings() < OUT_MINIMUM_OPENINGS:
            record.is_out = record.is_dead = False
            self._changes.append((server_id, "server_back", {}))

    def record_unanswered(
        self, server_id: str, packet: UnansweredPacket, now: float
    ) -> None:
        """Take note of a packet that a server has not reacted to."""
        record = self._record_of(server_id)
        if packet.sent_at <= record.progress_at:
            return
        recent = [
            s for s in record.unanswered if now - s.sent_at < UNANSWERED_WINDOW_SECONDS
        ]
        record.unanswered = [*recent, packet]
        if not packet.host and (
            packet.retransmissions != 1 or record.count_unanswered_openings()
        ):
            self._unsent.append((server_id, packet))
        if (
            not record.is_out
            and record.count_unanswered_openings() >= OUT_MINIMUM_OPENINGS
        ):
            record.is_out = True
            record.trial_due = now + TRIAL_INTERVAL_SECONDS
            self._record_change(server_id, "server_out", record, now)

    def is_out(self, server_id: str) -> bool:
        """Tell whether a server gets no new flows."""
        record = self.records_by_id.get(server_id)
        return record is not None and record.is_out

    def is_dead(self, server_id: str, now: float) -> bool:
        """Tell whether a server's flows are lost."""
        record = self.records_by_id.get(server_id)
        if record is None or not (record.unanswered or record.is_dead):
            return False
        meets_death_criteria = record.meets_death_criteria(now)
        if meets_death_criteria and not record.is_dead:
            record.is_out = True
            record.trial_due = now + TRIAL_INTERVAL_SECONDS
            self._record_change(server_id, "server_dead", record, now)
        record.is_dead = meets_death_criteria
        if meets_death_criteria:
            record.died_at = now
        return meets_death_criteria

    def died_recently(self, server_id: str, now: float) -> bool:
        """Tell whether a server was dead a moment ago and did not prove alive."""
        record = self.records_by_id.get(server_id)
        return record is not None and now - record.died_at < RECENT_DEATH_SECONDS

    def dead_ids(self, now: float) -> set[str]:
        """Return the servers whose flows are lost."""
        return {i for i in self.records_by_id if self.is_dead(i, now)}

    def progress_at(self, server_id: str) -> float:
        """Return when a server last proved alive."""
        record = self.records_by_id.get(server_id)
        return record.progress_at if record else float("-inf")

    def local_progress_at(self, server_id: str) -> float:
        """Return when a flow at this host last proved a server alive."""
        record = self.records_by_id.get(server_id)
        return record.local_progress_at if record else float("-inf")

    def pick_trial_server(self, servers: list[Server], now: float) -> Server | None:
        """Return a server that one opening packet may try again."""
        for server in servers:
            record = self.records_by_id.get(server.server_id)
            if record is None or not record.is_out:
                continue
            if now >= record.trial_due:
                record.trial_due = now + TRIAL_INTERVAL_SECONDS
                return server
        return None

    def discard(self, server_id: str) -> None:
        """Drop the evidence on a server that is no longer listed."""
        self.records_by_id.pop(server_id, None)

    def pop_unsent(self) -> list[tuple[str, UnansweredPacket]]:
        """Return own signs that peers have not been told of."""
        unsent, self._unsent = self._unsent, []
        return unsent

    def pop_recovered(self) -> list[str]:
        """Return servers that came back here, of which peers have not been told."""
        recovered, self._recovered = self._recovered, []
        return recovered

    def pop_changes(self) -> list[tuple[str, str, dict[str, int]]]:
        """Return servers that went out or came back, the change, and the reason."""
        changes, self._changes = self._changes, []
        return changes

    def _record_change(
        self, server_id: str, change: str, record: HealthRecord, now: float
    ) -> None:
        self._changes.append((server_id, change, record.describe_unanswered(now)))

    def _record_of(self, server_id: str) -> HealthRecord:
        record = self.records_by_id.get(server_id)
        if record is None:
            record = self.records_by_id[server_id] = HealthRecord()
        return record
