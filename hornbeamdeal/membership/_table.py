"""Table of the region's members and the rules by which received claims change it."""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from hornbeamdeal.kernel import (
    EntryHost,
    HostState,
    IncrementCounter,
    LogEvent,
    RebuildView,
    Version,
)

from ._accusations import AccusationQueue
from ._records import claim_precedence, is_refutation, merge_records
from ._updates import UpdateQueue, transmission_limit
from ._zone_preference import crossing_exchange_share, crossing_gossip_share

REACHABLE_STATES = (HostState.ALIVE, HostState.SUSPECT, HostState.LEAVING)
ACCUSED_STATES = (HostState.SUSPECT, HostState.DEAD)

# The driver rebuilds its view on each reported change. Changes of versions alone
# arrive from all hosts at about the same time and are reported in batches.
VERSION_NOTICE_INTERVAL_SECONDS = 0.25
# Members that return after a partition spread outdated death claims, which are
# refuted within this time. Until then death claims start no suspicion and
# confirmations shorten none.
REJOIN_GRACE_SECONDS = 3.0


class MemberTable:
    """Records of all members, including this host, and the actions they cause.

    A received death claim is at most a suspicion: each host relies on its own
    suspicion timer, so one isolated host cannot remove the others. Death claims
    that too few hosts confirm are kept in `death_claims_by_id` and verified by
    a ping to the member.
    """

    __slots__ = (
        "accusations",
        "actions",
        "changed",
        "corrections",
        "dead_since_by_id",
        "death_claims_by_id",
        "members_by_id",
        "own_id",
        "random",
        "refutation_pending",
        "rejoin_grace_until",
        "revived_ids",
        "superseded",
        "suspect_since_by_id",
        "updates",
        "version_changed",
        "_peer_ids",
        "_split_peer_ids",
        "_version_notice_due",
    )

    def __init__(self, own: EntryHost, generator: random.Random):
        self.own_id = own.host_id
        self.random = generator
        self.members_by_id = {own.host_id: own}
        self.suspect_since_by_id: dict[str, float] = {}
        self.dead_since_by_id: dict[str, float] = {}
        self.death_claims_by_id: dict[str, EntryHost] = {}
        # Members that the sender of the current message accuses although they
        # refuted; without a correction it would declare them dead.
        self.corrections: list[str] = []
        self.updates = UpdateQueue()
        self.accusations = AccusationQueue(own.host_id)
        self.actions: list[Any] = []
        self.changed = True
        self.version_changed = False
        self.refutation_pending = False
        self.revived_ids: set[str] = set()
        self.superseded = False
        self.rejoin_grace_until = 0.0
        self._peer_ids: list[str] | None = None
        self._split_peer_ids: tuple[list[str], list[str]] | None = None
        self._version_notice_due = 0.0
        self.updates.put(own.host_id, urgent=True)

    @property
    def own(self) -> EntryHost:
        """Return the record of this host."""
        return self.members_by_id[self.own_id]

    def peer_ids(self) -> list[str]:
        """Return the identifiers of reachable members except this host."""
        if self._peer_ids is None:
            self._peer_ids = [
                host_id
                for host_id, member in self.members_by_id.items()
                if host_id != self.own_id and member.state in REACHABLE_STATES
            ]
        return self._peer_ids

    def sample_peers(self, count: int, excluded: str = "") -> list[EntryHost]:
        """Return up to `count` random reachable peers other than `excluded`."""
        peer_ids = self.peer_ids()
        drawn = self.random.sample(peer_ids, min(count + 1, len(peer_ids)))
        chosen = [host_id for host_id in drawn if host_id != excluded][:count]
        return [self.members_by_id[host_id] for host_id in chosen]

    def sample_gossip_peers(self, count: int) -> list[EntryHost]:
        """Return up to `count` random reachable peers for gossip."""
        copies = transmission_limit(len(self.members_by_id))
        return self._sample_by_zone(
            count, lambda near, far: crossing_gossip_share(near, far, copies)
        )

    def sample_exchange_peers(self, count: int) -> list[EntryHost]:
        """Return up to `count` random reachable peers for a table exchange."""
        return self._sample_by_zone(count, crossing_exchange_share)

    def _sample_by_zone(
        self, count: int, crossing_share: Callable[[int, int], float]
    ) -> list[EntryHost]:
        near, far = self._peer_ids_by_zone()
        share = crossing_share(len(near), len(far))
        crossing = sum(self.random.random() < share for _ in range(count))
        drawn = self.random.sample(near, min(count - crossing, len(near)))
        drawn += self.random.sample(far, min(count - len(drawn), len(far)))
        return [self.members_by_id[host_id] for host_id in drawn]

    def _peer_ids_by_zone(self) -> tuple[list[str], list[str]]:
        """Return the reachable members of this host's zone, and the others."""
        if self._split_peer_ids is None:
            near: list[str] = []
            far: list[str] = []
            for host_id in self.peer_ids():
                is_near = self.members_by_id[host_id].zone == self.own.zone
                (near if is_near else far).append(host_id)
            self._split_peer_ids = near, far
        return self._split_peer_ids

    def set_own(self, state: HostState, version: Version | None) -> None:
        """Set this host's state and version; a new state increments the sequence."""
        own = self.own
        if own.state is not state:
            own = replace(own, state=state, sequence=own.sequence + 1)
        is_urgent = own.state is not self.own.state
        self._store(replace(own, version=version), is_urgent)

    def apply_claim(self, claim: EntryHost, now: float) -> None:
        """Apply a peer's claim about any member."""
        if claim.host_id == self.own_id:
            self.apply_own_claim(claim, now)
            return
        known = self.members_by_id.get(claim.host_id)
        if claim.state is HostState.DEAD:
            self.apply_death_claim(known, claim)
            return
        if known is None:
            self.update_state(claim, now)
            return
        merged = merge_records(known, claim)
        if claim_precedence(merged) != claim_precedence(known):
            self.update_state(merged, now)
        elif merged.version != known.version:
            self._store(merged, urgent=False)
        if claim.state is HostState.SUSPECT and merged.state is HostState.ALIVE:
            self.corrections.append(claim.host_id)

    def apply_version_claim(self, claim: EntryHost) -> None:
        """Apply the claimed version of a known member, and nothing else."""
        known = self.members_by_id[claim.host_id]
        merged = merge_records(known, claim)
        if claim.host_id != self.own_id and merged.version != known.version:
            self._store(merged, urgent=False)

    def declare_dead(self, host_id: str, now: float) -> None:
        """Declare a member dead whose suspicion expired without a refutation."""
        self.actions.append(IncrementCounter("membership_deaths", "suspicion_expired"))
        dead = replace(self.members_by_id[host_id], state=HostState.DEAD)
        self.update_state(dead, now)

    def forget_dead(self, before: float) -> None:
        """Remove the records of members that died before the time `before`."""
        since_by_id = self.dead_since_by_id
        for host_id in [i for i, since in since_by_id.items() if since < before]:
            del since_by_id[host_id]
            del self.members_by_id[host_id]
            self.accusations.discard(host_id)
            self.changed = True

    def report_changes(self, now: float) -> None:
        """Notify the driver of changes since the last report."""
        is_due = self.version_changed and now >= self._version_notice_due
        if self.changed or is_due:
            self.changed = self.version_changed = False
            self._version_notice_due = now + VERSION_NOTICE_INTERVAL_SECONDS
            self.actions.append(RebuildView())

    def apply_own_claim(self, claim: EntryHost, now: float) -> None:
        """Refute an accusation, correct an outdated one, or record being superseded."""
        own = self.own
        if claim.incarnation > own.incarnation:
            self._mark_superseded(claim)
            return
        if claim.state not in ACCUSED_STATES:
            return
        if claim_precedence(claim) <= claim_precedence(own):
            self.corrections.append(own.host_id)
            return
        self.actions.append(
            IncrementCounter("membership_refutations", claim.state.value)
        )
        self._store(replace(own, sequence=claim.sequence + 1), urgent=True)
        self.refutation_pending = True
        if claim.state is HostState.DEAD:
            self.rejoin_grace_until = now + REJOIN_GRACE_SECONDS

    def _mark_superseded(self, claim: EntryHost) -> None:
        if self.superseded:
            return
        self.superseded = True
        self.actions.append(IncrementCounter("membership_superseded"))
        fields = {"host": self.own_id, "by_incarnation": claim.incarnation}
        self.actions.append(LogEvent("member_superseded", fields, "error"))

    def apply_death_claim(self, known: EntryHost | None, claim: EntryHost) -> None:
        """Keep a death claim for verification, or correct it if outdated.

        A claim about an unknown or dead member is ignored.
        """
        if known is None or known.state is HostState.DEAD:
            return
        if claim_precedence(claim) > claim_precedence(known):
            self.death_claims_by_id[claim.host_id] = claim
        else:
            self.corrections.append(known.host_id)

    def update_state(self, member: EntryHost, now: float) -> None:
        """Store a member's new state and queue it for gossip."""
        known = self.members_by_id.get(member.host_id)
        self._update_timers(member, now)
        if known is not None and known.state is HostState.DEAD:
            self.revived_ids.add(member.host_id)
            if known.incarnation == member.incarnation:
                self.rejoin_grace_until = now + REJOIN_GRACE_SECONDS
        if known is None or known.state is not member.state:
            self._log_state(member)
        self._store(member, urgent=True)

    def _update_timers(self, member: EntryHost, now: float) -> None:
        host_id = member.host_id
        self.suspect_since_by_id.pop(host_id, None)
        self.dead_since_by_id.pop(host_id, None)
        if member.state is HostState.SUSPECT:
            self.suspect_since_by_id[host_id] = now
        elif member.state is HostState.DEAD:
            self.dead_since_by_id[host_id] = now
        else:
            self.accusations.discard(host_id)
            return
        self.updates.discard(host_id)
        self.accusations.enqueue(host_id)

    def _log_state(self, member: EntryHost) -> None:
        fields = {"host": member.host_id, "zone": member.zone}
        fields["incarnation"] = member.incarnation
        self.actions.append(LogEvent(f"member_{member.state.value}", fields))

    def _store(self, member: EntryHost, urgent: bool) -> None:
        known = self.members_by_id.get(member.host_id)
        self.members_by_id[member.host_id] = member
        if known is not None and claim_precedence(known) == claim_precedence(member):
            self.version_changed = True
        else:
            self.changed = True
            self._peer_ids = self._split_peer_ids = None
        if known is not None and is_refutation(known, member):
            self.updates.discard(member.host_id)
            self.accusations.enqueue(member.host_id)
        elif member.state not in ACCUSED_STATES:
            self.updates.put(member.host_id, urgent)
