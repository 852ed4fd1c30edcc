"""The membership component of one entry host."""

import random
from typing import Any

from hornbeamdeal.kernel import (
    Between,
    BroadcastPause,
    ClusterView,
    EntryHost,
    HostListApplied,
    HostState,
    PauseDetected,
    PeerMessageReceived,
    StopRequested,
    Version,
    VersionInForce,
    validate_parameters,
)
from hornbeamdeal.wire import peer_types

from ._accusation_rules import mark_suspect
from ._anti_entropy import AntiEntropy
from ._messages import UPDATE_MESSAGES, Messenger
from ._prober import Prober
from ._suspicion import SuspicionTimers
from ._table import MemberTable

GOSSIP_INTERVAL_SECONDS = 0.2
GOSSIP_FANOUT = 2
URGENT_FANOUT = 4
# A longer gap between two ticks means that this host was paused and that its
# view of the members is outdated.
PAUSE_THRESHOLD_SECONDS = 1.0
PAUSE_SYNC_PEERS = 3
# Limits the pause announcements of a host that is suspected repeatedly because of
# a lossy link.
PAUSE_ANNOUNCEMENT_INTERVAL_SECONDS = 2.0
FORGET_INTERVAL_SECONDS = 1.0

_CONSTRAINTS_BY_NAME = {
    "probe_interval": Between(0.05, 60),
    "suspicion_timeout": Between(0.1, 600),
    "forget_after": Between(1, 86_400),
}


class Membership:
    """SWIM membership of a region (Das, Gupta, Motivala 2002).

    Parameters
    ----------
    own : EntryHost
        Record of this host; its incarnation comes from `generate_incarnation`.
    seeds : sequence of Endpoint
        Hosts to join through.
    probe_interval : float
        Seconds between two probes.
    suspicion_timeout : float
        Seconds after which a suspect that has not refuted is declared dead; half as
        many if enough hosts confirm the suspicion.
    forget_after : float
        Seconds for which records of dead members are kept.
    random_state : int or None
        Seed of all random choices.

    Attributes
    ----------
    members_ : dict of str to EntryHost
        Known members by identifier, this host and dead ones included.
    superseded_ : bool
        Whether a newer incarnation of this host exists; this one then sends
        nothing more and should exit.
    """

    __slots__ = (
        "forget_after",
        "own",
        "probe_interval",
        "random_state",
        "seeds",
        "suspicion_timeout",
        "_anti_entropy",
        "_forget_due",
        "_gossip_due",
        "_last_tick",
        "_messenger",
        "_pause_announcement_due",
        "_prober",
        "_table",
        "_timers",
    )

    def __init__(
        self,
        *,
        own: EntryHost,
        seeds=(),
        probe_interval: float = 1.0,
        suspicion_timeout: float = 2.0,
        forget_after: float = 900.0,
        random_state: int | None = None,
    ):
        self.own = own
        self.seeds = seeds
        self.probe_interval = probe_interval
        self.suspicion_timeout = suspicion_timeout
        self.forget_after = forget_after
        self.random_state = random_state
        self._table: MemberTable | None = None

    @property
    def members_(self) -> dict[str, EntryHost]:
        """Return the known members by identifier."""
        if self._table is None:
            return {self.own.host_id: self.own}
        return self._table.members_by_id

    @property
    def superseded_(self) -> bool:
        """Return whether a newer incarnation of this host exists."""
        return self._table is not None and self._table.superseded

    def update(self, view: ClusterView, now: float) -> list[Any]:
        """Adopt the version in force from a new view."""
        self._ensure_started(now)
        self._set_version(view.version)
        return self._take_actions()

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle a peer's message, a pause, a stop, a version or a host list."""
        self._ensure_started(now)
        if isinstance(event, PeerMessageReceived):
            self._receive(event, now)
        elif isinstance(event, PauseDetected):
            self._resync_after_pause(now)
        elif isinstance(event, StopRequested):
            self._leave()
        elif isinstance(event, VersionInForce):
            self._set_version(event.version)
        elif isinstance(event, HostListApplied):
            self._anti_entropy.seeds = (*self.seeds, *event.entry_endpoints)
        return self._take_actions()

    def tick(self, now: float) -> list[Any]:
        """Probe, gossip, expire suspicions and reconnect to lost members."""
        self._ensure_started(now)
        if self._table.superseded:
            return self._take_actions()
        if now - self._last_tick > PAUSE_THRESHOLD_SECONDS:
            self._resync_after_pause(now)
        self._last_tick = now
        failed = self._prober.tick(now)
        for member in failed if not self._timers.is_suspended(now) else ():
            mark_suspect(self._table, member.host_id, now)
            self._gossip_suspicion(now)
        self._timers.tick(now)
        self._anti_entropy.tick(now)
        self._gossip(now)
        self._forget_dead_members(now)
        self._table.report_changes(now)
        return self._take_actions()

    def _ensure_started(self, now: float) -> None:
        if self._table is not None:
            return
        validate_parameters(self, _CONSTRAINTS_BY_NAME)
        generator = random.Random(self.random_state)
        self._table = MemberTable(self.own, generator)
        self._messenger = Messenger(self._table)
        self._prober = Prober(self._messenger, self.probe_interval, now)
        self._timers = SuspicionTimers(self._table, self.suspicion_timeout, now)
        self._anti_entropy = AntiEntropy(self._messenger, tuple(self.seeds), now)
        self._gossip_due = now + generator.uniform(0, GOSSIP_INTERVAL_SECONDS)
        self._forget_due = now + FORGET_INTERVAL_SECONDS
        self._pause_announcement_due = now
        self._last_tick = now

    def _set_version(self, version: Version | None) -> None:
        if version is not None and version != self._table.own.version:
            self._table.set_own(self._table.own.state, version)

    def _leave(self) -> None:
        self._table.set_own(HostState.LEAVING, self._table.own.version)
        self._messenger.gossip(self._table.sample_peers(URGENT_FANOUT))

    def _resync_after_pause(self, now: float) -> None:
        """Discard what the pause made doubtful, and request the tables of peers.

        Pending probes are cancelled, the suspicions restart, and failure detection
        is suspended until a peer's message arrives.
        """
        self._last_tick = now
        self._prober.cancel()
        self._timers.suspend_until_contact(now)
        self._anti_entropy.sync(now, PAUSE_SYNC_PEERS)

    def _receive(self, event: PeerMessageReceived, now: float) -> None:
        if event.host_id == self._table.own_id or self._table.superseded:
            return
        known = self._table.members_by_id.get(event.host_id)
        if known is not None and event.incarnation < known.incarnation:
            self._messenger.notify_superseded(event.endpoint, known)
            return
        self._timers.record_contact(now)
        self._prober.record_contact(event.host_id)
        self._dispatch_message(event, now)
        if self._table.refutation_pending:
            self._gossip_refutation(now)

    def _dispatch_message(self, event: PeerMessageReceived, now: float) -> None:
        message = event.message
        if isinstance(message, UPDATE_MESSAGES):
            self._messenger.apply_updates(message, event.endpoint, now)
        if isinstance(message, peer_types.Ping):
            self._messenger.reply(event.host_id, event.endpoint, message.nonce)
        elif isinstance(message, peer_types.PingReply):
            self._prober.record_reply(message.nonce, now)
        elif isinstance(message, peer_types.PingRequest):
            self._prober.probe_on_behalf(event.host_id, event.endpoint, message, now)
        elif isinstance(message, peer_types.JoinRequest):
            self._anti_entropy.reply_to_join(event, now)
            self._messenger.apply_records([message.member], event.endpoint, now)
        elif isinstance(message, peer_types.JoinReply):
            self._anti_entropy.record_join_reply(now)
            self._messenger.apply_join_reply(message, event.endpoint, now)

    def _gossip_suspicion(self, now: float) -> None:
        """Gossip a suspicion at once; in a burst of probes regular gossip suffices."""
        if not self._prober.is_in_burst(now):
            self._messenger.gossip(self._table.sample_peers(URGENT_FANOUT))

    def _gossip_refutation(self, now: float) -> None:
        self._table.refutation_pending = False
        self._messenger.gossip(self._table.sample_peers(URGENT_FANOUT))
        # A peer's suspicion may mean that this host was paused without noticing,
        # since the monotonic clock may stand still during a pause.
        if now >= self._pause_announcement_due:
            self._pause_announcement_due = now + PAUSE_ANNOUNCEMENT_INTERVAL_SECONDS
            self._table.actions.append(BroadcastPause())

    def _gossip(self, now: float) -> None:
        if now < self._gossip_due:
            return
        self._gossip_due = now + GOSSIP_INTERVAL_SECONDS
        self._prober.probe_next(self._anti_entropy.check_death_claims())
        if self._table.updates or self._table.accusations.queue:
            self._messenger.gossip(self._table.sample_gossip_peers(GOSSIP_FANOUT))

    def _forget_dead_members(self, now: float) -> None:
        if now >= self._forget_due:
            self._forget_due = now + FORGET_INTERVAL_SECONDS
            self._table.forget_dead(now - self.forget_after)

    def _take_actions(self) -> list[Any]:
        pending = self._table.actions
        self._table.actions = []
        return pending
