"""Evidence on servers from the flows that went on and those that did not.

Only callers' packets come by a host, so a server proves itself alive through
what its callers do next. Hosts tell each other what speaks against a server
and what refutes it: each of them sees a small part of its flows.
"""

from ._records import Server

# Opening packets without an answer from which on a server gets no new flows.
STRIKES = 2
# A strike counts for this long; a busy server is struck less often.
STRIKE_SECONDS = 2.0
# One opening packet a host tries a struck server again after this long, and
# goes to a second server at the same time.
TRIAL_SECONDS = 2.0


class ServerEvidence:
    """What is known of one server. Times are monotonic seconds."""

    __slots__ = ("is_out", "progress_at", "strikes", "trial_due")

    def __init__(self):
        self.progress_at = float("-inf")
        self.strikes: list[float] = []
        self.is_out = False
        self.trial_due = 0.0


class EvidenceBook:
    """Decides from own and peers' evidence which servers get no new flows.

    Attributes
    ----------
    changes : list of tuple of str and bool
        Servers that went out of choice (True) or came back (False) since the
        driver last took the list.
    """

    __slots__ = ("changes", "evidence_by_id", "struck")

    def __init__(self):
        self.evidence_by_id: dict[str, ServerEvidence] = {}
        self.changes: list[tuple[str, bool]] = []
        self.struck: list[tuple[str, float]] = []

    def note_progress(self, server_id: str, at: float) -> None:
        """Take note that a server was alive at a time."""
        evidence = self._evidence_of(server_id)
        if at <= evidence.progress_at:
            return
        evidence.progress_at = at
        if evidence.strikes:
            evidence.strikes = [s for s in evidence.strikes if s > at]
        if evidence.is_out and len(evidence.strikes) < STRIKES:
            evidence.is_out = False
            self.changes.append((server_id, False))

    def note_strike(self, server_id: str, at: float, is_own: bool = True) -> None:
        """Take note of an opening packet that a server left unanswered."""
        evidence = self._evidence_of(server_id)
        if at <= evidence.progress_at:
            return
        recent = [s for s in evidence.strikes if at - s < STRIKE_SECONDS]
        evidence.strikes = [*recent, at]
        if is_own:
            self.struck.append((server_id, at))
        if not evidence.is_out and len(evidence.strikes) >= STRIKES:
            evidence.is_out = True
            evidence.trial_due = at + TRIAL_SECONDS
            self.changes.append((server_id, True))

    def is_out(self, server_id: str) -> bool:
        """Tell whether a server gets no new flows."""
        evidence = self.evidence_by_id.get(server_id)
        return evidence is not None and evidence.is_out

    def progress_at(self, server_id: str) -> float:
        """Return when a server last proved alive."""
        evidence = self.evidence_by_id.get(server_id)
        return evidence.progress_at if evidence else float("-inf")

    def take_trial(self, servers: list[Server], now: float) -> Server | None:
        """Return a server that one opening packet may try again."""
        for server in servers:
            evidence = self.evidence_by_id.get(server.server_id)
            if evidence and evidence.is_out and now >= evidence.trial_due:
                evidence.trial_due = now + TRIAL_SECONDS
                return server
        return None

    def forget(self, server_id: str) -> None:
        """Drop the evidence on a server that is no longer listed."""
        self.evidence_by_id.pop(server_id, None)

    def take_struck(self) -> list[tuple[str, float]]:
        """Return own strikes that peers have not been told of."""
        struck, self.struck = self.struck, []
        return struck

    def take_changes(self) -> list[tuple[str, bool]]:
        """Return the servers that went out or came back."""
        changes, self.changes = self.changes, []
        return changes

    def _evidence_of(self, server_id: str) -> ServerEvidence:
        evidence = self.evidence_by_id.get(server_id)
        if evidence is None:
            evidence = self.evidence_by_id[server_id] = ServerEvidence()
        return evidence
