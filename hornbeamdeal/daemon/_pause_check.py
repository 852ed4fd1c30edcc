"""Check of the version in force after a pause, before callers are served again."""

import random
from typing import Any

from hornbeamdeal.kernel import (
    Count,
    HostState,
    PauseDetected,
    PeerReceived,
    SendPeer,
    Version,
    View,
)
from hornbeamdeal.wire import peer_types

PEERS_ASKED = 3
ASK_INTERVAL_SECONDS = 0.2
# A host that reaches no peer in this time is cut off and goes on alone.
PATIENCE_SECONDS = 5.0
NONCE_BITS = 62


class PauseCheck:
    """Asks peers for their version after a pause, with fresh nonces.

    Messages that waited in the socket during the pause are as old as the
    host's own facts, so only an answer to a question asked since counts.

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
        "ask_due_",
        "awaited_",
    )

    def __init__(self, *, random_state: int | None = None):
        self.random_state = random_state
        self.random_ = random.Random(random_state)
        self.view_: View | None = None
        self.nonces_: set[int] = set()
        self.started_at_: float | None = None
        self.ask_due_ = 0.0
        self.awaited_: Version | None = None

    @property
    def is_open_(self) -> bool:
        """Tell whether the version in force is still unconfirmed."""
        return self.started_at_ is not None

    def update(self, view: View, now: float) -> list[Any]:
        """Take a view; a version as high as the peers' ends the check."""
        self.view_ = view
        if self.awaited_ is not None:
            self._end_if_reached()
        return []

    def handle(self, event: Any, now: float) -> list[Any]:
        """Start at a pause, and take the peers' answers."""
        if isinstance(event, PauseDetected):
            self._start(now)
            return self.tick(now)
        if self.is_open_ and isinstance(event, PeerReceived):
            self._take(event)
        return []

    def tick(self, now: float) -> list[Any]:
        """Ask again, or give up where no peer answers."""
        if not self.is_open_:
            return []
        if now - self.started_at_ > PATIENCE_SECONDS:
            self._end()
            return [Count("pauses_unconfirmed")]
        if now < self.ask_due_:
            return []
        self.ask_due_ = now + ASK_INTERVAL_SECONDS
        return self._ask()

    def _start(self, now: float) -> None:
        self.started_at_ = self.ask_due_ = now
        self.awaited_ = None
        self.nonces_.clear()

    def _ask(self) -> list[Any]:
        if self.view_ is None:
            return []
        peers = [
            host
            for host in self.view_.hosts_by_id.values()
            if host.host_id != self.view_.own_id and host.state is not HostState.DEAD
        ]
        chosen = self.random_.sample(peers, min(PEERS_ASKED, len(peers)))
        nonce = self.random_.getrandbits(NONCE_BITS)
        self.nonces_.add(nonce)
        return [SendPeer(peer.endpoint, peer_types.Ping(nonce, [])) for peer in chosen]

    def _take(self, event: PeerReceived) -> None:
        message = event.message
        is_answer = isinstance(message, peer_types.PingReply)
        if not is_answer or message.nonce not in self.nonces_:
            return
        for record in message.updates or ():
            if record.host_id == event.host_id:
                reported = Version(record.version_number, record.version_digest or b"")
                self.awaited_ = max(reported, self.awaited_ or reported)
        self._end_if_reached()

    def _end_if_reached(self) -> None:
        own = self.view_.version if self.view_ else None
        if self.awaited_ is None or own is None or own >= self.awaited_:
            self._end()

    def _end(self) -> None:
        self.started_at_ = None
        self.awaited_ = None
        self.nonces_.clear()
