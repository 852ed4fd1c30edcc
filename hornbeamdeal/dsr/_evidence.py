"""Evidence on servers from the flows that went on and those that did not.

Only callers' packets come by a host, so a server proves itself alive through
what its callers do next. Each host sees a small part of a server's flows, so
hosts tell each other what speaks against a server and what refutes it.
"""

from ._records import Server

# A sign counts for this long; a server with little traffic gets few.
SIGN_SECONDS = 2.0
# Opening packets without an answer from which on a server gets no new flows.
# A living server answers each within a millisecond unless a datagram is lost.
OUT_OPENINGS = 2
# One opening packet a host tries such a server again after this long, and goes
# to a second server at the same time.
TRIAL_SECONDS = 2.0
# A server is dead where this many packets of several callers at several hosts
# got no reaction, and nobody has seen it alive for so long. One host alone can't
# tell a server's silence from trouble on its own link.
DEAD_SIGNS = 3
DEAD_CALLERS = 2
DEAD_HOSTS = 2
DEAD_SILENCE_SECONDS = 0.35
# The same from open flows alone. A living server repeats its acknowledgement
# when data is repeated, so a second repetition is rarely its fault; the first
# is common where work takes longer than the caller's timer.
STALLED_REPETITIONS = 2
STALLED_FLOWS = 2
STALLED_SILENCE_SECONDS = 0.8
# A death counts for this long beside a missing entry. A crashed server's entry
# goes after three of its reports, when its signs are a second or two old; one that
# was cut off and is back has reported again by then.
DEATH_MEMORY_SECONDS = 3.0


class Sign:
    """A packet that a server has not reacted to.

    `sent_at` is the monotonic time at which the host had forwarded it before,
    `caller` a hash of the caller's address, `repetitions` 0 for an opening
    packet.
    """

    __slots__ = ("caller", "host", "repetitions", "sent_at")

    def __init__(self, sent_at: float, caller: int, repetitions: int, host: str = ""):
        self.sent_at = sent_at
        self.caller = caller
        self.repetitions = repetitions
        self.host = host


class ServerEvidence:
    """What is known of one server. Times are monotonic seconds.

    `died_at` is when signs last showed its death, unless it proved alive since.
    """

    __slots__ = (
        "died_at",
        "is_dead",
        "is_out",
        "own_progress_at",
        "progress_at",
        "signs",
        "trial_due",
    )

    def __init__(self):
        self.own_progress_at = float("-inf")
        self.progress_at = float("-inf")
        self.signs: list[Sign] = []
        self.is_out = False
        self.is_dead = False
        self.died_at = float("-inf")
        self.trial_due = 0.0

    def openings(self) -> int:
        """Count the opening packets without an answer."""
        return sum(sign.repetitions == 0 for sign in self.signs)

    def shows_death(self, now: float) -> bool:
        """Tell whether a living server would have been noticed.

        Old signs tell nothing: the server may have come back unnoticed.
        """
        self.signs = [s for s in self.signs if now - s.sent_at < SIGN_SECONDS]
        if not self.signs:
            return False
        first_sent = min(sign.sent_at for sign in self.signs)
        silence = now - max(self.progress_at, first_sent)
        if self.is_out and silence >= DEAD_SILENCE_SECONDS and self._are_independent():
            return True
        stalled = [s for s in self.signs if s.repetitions >= STALLED_REPETITIONS]
        callers = {sign.caller for sign in stalled}
        return (
            len(callers) >= STALLED_FLOWS
            and len(self._hosts()) >= DEAD_HOSTS
            and silence >= STALLED_SILENCE_SECONDS
        )

    def describe(self, now: float) -> dict[str, int]:
        """Return what speaks against the server, for the log."""
        first_sent = min((s.sent_at for s in self.signs), default=now)
        return {
            "openings": self.openings(),
            "repeated": len(self.signs) - self.openings(),
            "callers": len({sign.caller for sign in self.signs}),
            "hosts": len(self._hosts()),
            "silence_ms": round(1000 * (now - max(self.progress_at, first_sent))),
        }

    def _are_independent(self) -> bool:
        callers = {sign.caller for sign in self.signs}
        return (
            len(self.signs) >= DEAD_SIGNS
            and len(callers) >= DEAD_CALLERS
            and len(self._hosts()) >= DEAD_HOSTS
        )

    def _hosts(self) -> set[str]:
        return {sign.host for sign in self.signs}


class EvidenceBook:
    """Decides from own and peers' evidence which servers are out or dead.

    A server that is out gets no new flows. Open flows of a dead one are reset,
    so that their callers go on elsewhere at once.
    """

    __slots__ = ("evidence_by_id", "_changes", "_recovered", "_unsent")

    def __init__(self):
        self.evidence_by_id: dict[str, ServerEvidence] = {}
        self._changes: list[tuple[str, str, dict[str, int]]] = []
        self._recovered: list[str] = []
        self._unsent: list[tuple[str, Sign]] = []

    def note_own_progress(self, server_id: str, now: float) -> None:
        """Take note that a flow at this host proved a server alive."""
        evidence = self._evidence_of(server_id)
        evidence.own_progress_at = now
        was_out = evidence.is_out
        self.note_progress(server_id, now)
        if was_out and not evidence.is_out:
            self._recovered.append(server_id)

    def note_progress(self, server_id: str, at: float) -> None:
        """Take note that a server was alive at a time."""
        evidence = self._evidence_of(server_id)
        if at <= evidence.progress_at:
            return
        evidence.progress_at = at
        evidence.died_at = float("-inf")
        evidence.signs = [s for s in evidence.signs if s.sent_at > at]
        if evidence.is_out and evidence.openings() < OUT_OPENINGS:
            evidence.is_out = evidence.is_dead = False
            self._changes.append((server_id, "server_back", {}))

    def note_sign(self, server_id: str, sign: Sign, now: float) -> None:
        """Take note of a packet that a server has not reacted to."""
        evidence = self._evidence_of(server_id)
        if sign.sent_at <= evidence.progress_at:
            return
        recent = [s for s in evidence.signs if now - s.sent_at < SIGN_SECONDS]
        evidence.signs = [*recent, sign]
        if not sign.host and (sign.repetitions != 1 or evidence.openings()):
            self._unsent.append((server_id, sign))
        if not evidence.is_out and evidence.openings() >= OUT_OPENINGS:
            evidence.is_out = True
            evidence.trial_due = now + TRIAL_SECONDS
            self._note_change(server_id, "server_out", evidence, now)

    def is_out(self, server_id: str) -> bool:
        """Tell whether a server gets no new flows."""
        evidence = self.evidence_by_id.get(server_id)
        return evidence is not None and evidence.is_out

    def is_dead(self, server_id: str, now: float) -> bool:
        """Tell whether a server's flows are lost."""
        evidence = self.evidence_by_id.get(server_id)
        if evidence is None or not (evidence.signs or evidence.is_dead):
            return False
        shows_death = evidence.shows_death(now)
        if shows_death and not evidence.is_dead:
            evidence.is_out = True
            evidence.trial_due = now + TRIAL_SECONDS
            self._note_change(server_id, "server_dead", evidence, now)
        evidence.is_dead = shows_death
        if shows_death:
            evidence.died_at = now
        return shows_death

    def died_lately(self, server_id: str, now: float) -> bool:
        """Tell whether a server was dead a moment ago and did not prove alive."""
        evidence = self.evidence_by_id.get(server_id)
        return evidence is not None and now - evidence.died_at < DEATH_MEMORY_SECONDS

    def dead_ids(self, now: float) -> set[str]:
        """Return the servers whose flows are lost."""
        return {i for i in self.evidence_by_id if self.is_dead(i, now)}

    def progress_at(self, server_id: str) -> float:
        """Return when a server last proved alive."""
        evidence = self.evidence_by_id.get(server_id)
        return evidence.progress_at if evidence else float("-inf")

    def own_progress_at(self, server_id: str) -> float:
        """Return when a flow at this host last proved a server alive."""
        evidence = self.evidence_by_id.get(server_id)
        return evidence.own_progress_at if evidence else float("-inf")

    def take_trial(self, servers: list[Server], now: float) -> Server | None:
        """Return a server that one opening packet may try again."""
        for server in servers:
            evidence = self.evidence_by_id.get(server.server_id)
            if evidence is None or not evidence.is_out:
                continue
            if now >= evidence.trial_due:
                evidence.trial_due = now + TRIAL_SECONDS
                return server
        return None

    def forget(self, server_id: str) -> None:
        """Drop the evidence on a server that is no longer listed."""
        self.evidence_by_id.pop(server_id, None)

    def take_unsent(self) -> list[tuple[str, Sign]]:
        """Return own signs that peers have not been told of."""
        unsent, self._unsent = self._unsent, []
        return unsent

    def take_recovered(self) -> list[str]:
        """Return servers that came back here, of which peers have not been told."""
        recovered, self._recovered = self._recovered, []
        return recovered

    def take_changes(self) -> list[tuple[str, str, dict[str, int]]]:
        """Return servers that went out or came back, the change, and the reason."""
        changes, self._changes = self._changes, []
        return changes

    def _note_change(
        self, server_id: str, change: str, evidence: ServerEvidence, now: float
    ) -> None:
        self._changes.append((server_id, change, evidence.describe(now)))

    def _evidence_of(self, server_id: str) -> ServerEvidence:
        evidence = self.evidence_by_id.get(server_id)
        if evidence is None:
            evidence = self.evidence_by_id[server_id] = ServerEvidence()
        return evidence
