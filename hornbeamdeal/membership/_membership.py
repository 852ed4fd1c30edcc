"""The membership component of one entry host."""

import random
from typing import Any

from hornbeamdeal.kernel import (
    AnnouncePause,
    Between,
    EntryHost,
    HostListInUse,
    HostState,
    PauseDetected,
    PeerReceived,
    StopRequested,
    Version,
    VersionInForce,
    View,
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
# A gap between two ticks from which on the own facts count as old.
PAUSE_SECONDS = 1.0
RECHECK_PEERS = 3
# A host suspected over and over, by a lossy link, announces a pause once.
ANNOUNCE_INTERVAL_SECONDS = 2.0
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
        Record of this host; its incarnation comes from `draw_incarnation`.
    seeds : sequence of Endpoint
        Hosts to join through.
    probe_interval : float
        Seconds between two probes.
    suspicion_timeout : float
        Seconds in which a suspected member can refute.
    forget_after : float
        Seconds for which records of dead members are kept.
    random_state : int or None
        Seed of all random choices.

    Attributes
    ----------
    members_ : dict of str to EntryHost
        Known members by identifier, this host and dead ones included.
    superseded_ : bool
        Whether a newer incarnation of this host exists; this one is silent
        from then on and should exit.
    """

    __slots__ = (
        "forget_after",
        "own",
        "probe_interval",
        "random_state",
        "seeds",
        "suspicion_timeout",
        "_announce_due",
        "_forget_due",
        "_gossip_due",
        "_anti_entropy",
        "_last_tick",
        "_messenger",
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
        """Tell whether a newer incarnation of this host exists."""
        return self._table is not None and self._table.superseded

    def update(self, view: View, now: float) -> list[Any]:
        """Take the version in force from a new view."""
        self._ensure_started(now)
        self._set_version(view.version)
        return self._take_actions()

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take a peer's message, a pause, a stop, a version or a host list."""
        self._ensure_started(now)
        if isinstance(event, PeerReceived):
            self._receive(event, now)
        elif isinstance(event, PauseDetected):
            self._recheck(now)
        elif isinstance(event, StopRequested):
            self._leave()
        elif isinstance(event, VersionInForce):
            self._set_version(event.version)
        elif isinstance(event, HostListInUse):
            self._anti_entropy.seeds = (*self.seeds, *event.entry_endpoints)
        return self._take_actions()

    def tick(self, now: float) -> list[Any]:
        """Probe, gossip, expire suspicions and contact lost members."""
        self._ensure_started(now)
        if self._table.superseded:
            return self._take_actions()
        if now - self._last_tick > PAUSE_SECONDS:
            self._recheck(now)
        self._last_tick = now
        failed = self._prober.tick(now)
        for target in failed if not self._timers.is_holding(now) else ():
            mark_suspect(self._table, target.host_id, now)
            self._urge_suspicion(now)
        self._timers.tick(now)
        self._anti_entropy.tick(now)
        self._gossip(now)
        self._forget(now)
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
        self._announce_due = now
        self._last_tick = now

    def _set_version(self, version: Version | None) -> None:
        if version is not None and version != self._table.own.version:
            self._table.set_own(self._table.own.state, version)

    def _leave(self) -> None:
        self._table.set_own(HostState.LEAVING, self._table.own.version)
        self._messenger.gossip(self._table.sample_peers(URGENT_FANOUT))

    def _recheck(self, now: float) -> None:
        """Ask peers before any suspicion of the time before the pause counts."""
        self._last_tick = now
        self._prober.cancel()
        self._timers.require_contact(now)
        self._anti_entropy.sync(now, RECHECK_PEERS)

    def _receive(self, event: PeerReceived, now: float) -> None:
        if event.host_id == self._table.own_id or self._table.superseded:
            return
        known = self._table.members_by_id.get(event.host_id)
        if known is not None and event.incarnation < known.incarnation:
            self._messenger.notify_superseded(event.endpoint, known)
            return
        self._timers.note_contact(now)
        self._prober.note_contact(event.host_id)
        self._take_message(event, now)
        if self._table.refutation_pending:
            self._announce_refutation(now)

    def _take_message(self, event: PeerReceived, now: float) -> None:
        message = event.message
        if isinstance(message, UPDATE_MESSAGES):
            self._messenger.apply_updates(message, event.endpoint, now)
        if isinstance(message, peer_types.Ping):
            self._messenger.reply(event.host_id, event.endpoint, message.nonce)
        elif isinstance(message, peer_types.PingReply):
            self._prober.note_reply(message.nonce, now)
        elif isinstance(message, peer_types.PingRequest):
            self._prober.probe_for(event.host_id, event.endpoint, message, now)
        elif isinstance(message, peer_types.JoinRequest):
            self._anti_entropy.reply_to_join(event, now)
            self._messenger.apply_records([message.member], event.endpoint, now)
        elif isinstance(message, peer_types.JoinReply):
            self._anti_entropy.record_join_reply(now)
            self._messenger.apply_join_reply(message, event.endpoint, now)

    def _urge_suspicion(self, now: float) -> None:
        """Spread a suspicion at once; in a burst the regular gossip suffices."""
        if not self._prober.is_in_burst(now):
            self._messenger.gossip(self._table.sample_peers(URGENT_FANOUT))

    def _announce_refutation(self, now: float) -> None:
        self._table.refutation_pending = False
        self._messenger.gossip(self._table.sample_peers(URGENT_FANOUT))
        if now >= self._announce_due:
            self._announce_due = now + ANNOUNCE_INTERVAL_SECONDS
            self._table.actions.append(AnnouncePause())

    def _gossip(self, now: float) -> None:
        if now < self._gossip_due:
            return
        self._gossip_due = now + GOSSIP_INTERVAL_SECONDS
        self._prober.prefer(self._anti_entropy.check_death_claims())
        if self._table.updates or self._table.accusations.queue:
            self._messenger.gossip(self._table.sample_peers(GOSSIP_FANOUT))

    def _forget(self, now: float) -> None:
        if now >= self._forget_due:
            self._forget_due = now + FORGET_INTERVAL_SECONDS
            self._table.forget_dead(now - self.forget_after)

    def _take_actions(self) -> list[Any]:
        pending = self._table.actions
        self._table.actions = []
        return pending
