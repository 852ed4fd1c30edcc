"""Confirms the version in force after a pause, before callers are served again."""

import random
from typing import Any

from hornbeamdeal.kernel import (
    ClusterView,
    HostState,
    IncrementCounter,
    PauseDetected,
    PeerMessageReceived,
    SendPeerMessage,
    Version,
)
from hornbeamdeal.wire import peer_types

PEERS_PER_QUERY = 3
QUERY_INTERVAL_SECONDS = 0.2
# The check ends after this time, also unconfirmed: a host that gets no reply is
# partitioned and resumes on its own.
CHECK_TIMEOUT_SECONDS = 5.0
NONCE_BITS = 62


class PauseCheck:
    """Queries peers for their version after a pause, with fresh nonces.

    Messages that waited in the socket during the pause may be as outdated as
    the host's own state, so only replies to queries sent since then count.

    Parameters
    ----------
    random_state : int or None
        Seed of nonces and of the choice of peers.
    """

    __slots__ = (
        "random_state",
        "random_",
        "view_",
        "nonces_",
        "started_at_",
        "query_due_",
        "awaited_version_",
    )

    def __init__(self, *, random_state: int | None = None):
        self.random_state = random_state
        self.random_ = random.Random(random_state)
        self.view_: ClusterView | None = None
        self.nonces_: set[int] = set()
        self.started_at_: float | None = None
        self.query_due_ = 0.0
        self.awaited_version_: Version | None = None

    @property
    def is_running_(self) -> bool:
        """Return whether the check is still running."""
        return self.started_at_ is not None

    def update(self, view: ClusterView, now: float) -> list[Any]:
        """Use a new view; end the check if no peer reported a higher version."""
        self.view_ = view
        if self.awaited_version_ is not None:
            self._end_if_up_to_date()
        return []

    def handle(self, event: Any, now: float) -> list[Any]:
        """Start the check at a pause and process the peers' replies."""
        if isinstance(event, PauseDetected):
            self._start(now)
            return self.tick(now)
        if self.is_running_ and isinstance(event, PeerMessageReceived):
            self._handle_reply(event)
        return []

    def tick(self, now: float) -> list[Any]:
        """Query peers again, or end the check if it timed out."""
        if not self.is_running_:
            return []
        if now - self.started_at_ > CHECK_TIMEOUT_SECONDS:
            self._end()
            return [IncrementCounter("pauses_unconfirmed")]
        if now < self.query_due_:
            return []
        self.query_due_ = now + QUERY_INTERVAL_SECONDS
        return self._query_peers()

    def _start(self, now: float) -> None:
        self.started_at_ = self.query_due_ = now
        self.awaited_version_ = None
        self.nonces_.clear()

    def _query_peers(self) -> list[Any]:
        if self.view_ is None:
            return []
        peers = [
            host
            for host in self.view_.hosts_by_id.values()
            if host.host_id != self.view_.own_id and host.state is not HostState.DEAD
        ]
        chosen = self.random_.sample(peers, min(PEERS_PER_QUERY, len(peers)))
        nonce = self.random_.getrandbits(NONCE_BITS)
        self.nonces_.add(nonce)
        return [
            SendPeerMessage(peer.endpoint, peer_types.Ping(nonce, []))
            for peer in chosen
        ]

    def _handle_reply(self, event: PeerMessageReceived) -> None:
        message = event.message
        is_reply = isinstance(message, peer_types.PingReply)
        if not is_reply or message.nonce not in self.nonces_:
            return
        for record in message.updates or ():
            if record.host_id == event.host_id:
                reported = Version(record.version_number, record.version_digest or b"")
                self.awaited_version_ = max(reported, self.awaited_version_ or reported)
        self._end_if_up_to_date()

    def _end_if_up_to_date(self) -> None:
        own = self.view_.version if self.view_ else None
        if self.awaited_version_ is None or own is None or own >= self.awaited_version_:
            self._end()

    def _end(self) -> None:
        self.started_at_ = None
        self.awaited_version_ = None
        self.nonces_.clear()
