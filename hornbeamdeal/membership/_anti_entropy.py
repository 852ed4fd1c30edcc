"""Joining through seeds, anti-entropy and reconnection to lost members."""

from hornbeamdeal.kernel import Endpoint, PeerMessageReceived

from ._messages import Messenger

JOIN_INTERVAL_SECONDS = 0.5
# One lost member or seed is contacted per interval, so that the two sides of
# a partition find each other once it heals; the rate does not depend on the
# number of lost members.
RECONNECT_INTERVAL_SECONDS = 1.0
# A full table exchange repairs updates that gossip missed; 290 records are 28 KB.
SYNC_INTERVAL_SECONDS = 20.0
# Hosts that start together know few of each other at first, so a new host
# exchanges tables sooner; the interval doubles up to the regular one.
INITIAL_SYNC_INTERVAL_SECONDS = 1.0
# After a partition heals, all hosts request the table of the members that came
# back first. A reply of 290 records is 28 KB, so replies to known members are
# rate-limited; a requester without a reply retries with another host.
JOIN_REPLY_INTERVAL_SECONDS = 1.25
REVIVED_SYNC_INTERVAL_SECONDS = 0.5
# Death claims verified by a ping to the accused host per gossip interval.
DEATH_CLAIM_CHECKS_PER_ROUND = 3
# After several deaths within a few seconds, hosts push them to random peers, so
# that a host that missed the gossip does not depend on its own probes. The loss
# of 111 hosts takes 4 KB per push.
PUSH_INTERVAL_SECONDS = 1.0
PUSH_MINIMUM_DEATHS = 3
PUSH_WINDOW_SECONDS = 5.0
PUSH_FANOUT = 1


class AntiEntropy:
    """Joins through seeds, synchronizes tables and reconnects to lost members."""

    __slots__ = (
        "joined",
        "messenger",
        "seeds",
        "table",
        "_join_reply_due",
        "_push_due",
        "_reconnect_due",
        "_revived_sync_due",
        "_sync_due",
        "_sync_interval",
    )

    def __init__(self, messenger: Messenger, seeds: tuple[Endpoint, ...], now: float):
        self.messenger = messenger
        self.table = messenger.table
        self.seeds = seeds
        self.joined = False
        self._reconnect_due = now
        self._push_due = now
        self._revived_sync_due = now
        self._join_reply_due = now
        self._sync_interval = INITIAL_SYNC_INTERVAL_SECONDS
        self._sync_due = now + self._sync_interval

    def tick(self, now: float) -> None:
        """Send the joins, pushes and table requests that are due."""
        if now >= self._reconnect_due:
            interval = (
                RECONNECT_INTERVAL_SECONDS if self.joined else JOIN_INTERVAL_SECONDS
            )
            self._reconnect_due = now + interval * self.table.random.uniform(0.8, 1.2)
            self._contact_unreachable()
        if now >= self._push_due:
            jitter = self.table.random.uniform(0.8, 1.2)
            self._push_due = now + PUSH_INTERVAL_SECONDS * jitter
            self._push_deaths(now)
        if self.table.revived_ids and now >= self._revived_sync_due:
            self._revived_sync_due = now + REVIVED_SYNC_INTERVAL_SECONDS
            self._sync_with_revived()
        if now >= self._sync_due:
            self.sync(now, 1)

    def sync(self, now: float, count: int) -> None:
        """Request the full tables of `count` random peers."""
        jitter = self.table.random.uniform(0.8, 1.2)
        self._sync_interval = min(2 * self._sync_interval, SYNC_INTERVAL_SECONDS)
        self._sync_due = now + self._sync_interval * jitter
        for peer in self.table.sample_exchange_peers(count):
            self.messenger.request_table(peer.endpoint)

    def record_join_reply(self, now: float) -> None:
        """Record a received table and postpone requests to revived members."""
        self.joined = True
        self.table.revived_ids.clear()
        self._revived_sync_due = now + JOIN_REPLY_INTERVAL_SECONDS

    def reply_to_join(self, event: PeerMessageReceived, now: float) -> None:
        """Send the full table: to new hosts at once, to others at a bounded rate."""
        known = self.table.members_by_id.get(event.host_id)
        if known is not None and known.incarnation >= event.incarnation:
            if now < self._join_reply_due:
                return
            self._join_reply_due = now + JOIN_REPLY_INTERVAL_SECONDS
        self.messenger.send_table(event.endpoint)

    def check_death_claims(self) -> list[str]:
        """Ping members that peers claim dead, with the claim; return their ids."""
        death_claims = self.table.death_claims_by_id
        pinged_ids = []
        for host_id in list(death_claims)[:DEATH_CLAIM_CHECKS_PER_ROUND]:
            claim = death_claims.pop(host_id)
            known = self.table.members_by_id.get(host_id)
            if known is not None and known.sequence <= claim.sequence:
                self.messenger.ping(known, claim)
                pinged_ids.append(host_id)
        return pinged_ids

    def _contact_unreachable(self) -> None:
        table = self.table
        reachable = {table.members_by_id[i].endpoint for i in table.peer_ids()}
        reachable.add(table.own.endpoint)
        lost = [table.members_by_id[i] for i in table.dead_since_by_id]
        lost_endpoints = {member.endpoint for member in lost}
        unknown_seeds = [e for e in self.seeds if e not in reachable | lost_endpoints]
        if not lost and not unknown_seeds:
            return
        choice = table.random.randrange(len(lost) + len(unknown_seeds))
        if choice < len(lost):
            self.messenger.ping(lost[choice])
        else:
            self.messenger.request_table(unknown_seeds[choice - len(lost)])

    def _push_deaths(self, now: float) -> None:
        since_by_id = self.table.dead_since_by_id
        recent = [i for i, at in since_by_id.items() if now - at < PUSH_WINDOW_SECONDS]
        if len(recent) >= PUSH_MINIMUM_DEATHS and now >= self.table.rejoin_grace_until:
            self.messenger.push_deaths(self.table.sample_peers(PUSH_FANOUT), recent)

    def _sync_with_revived(self) -> None:
        """Request the table of one revived member, for its side of a partition."""
        revived = sorted(self.table.revived_ids)
        member = self.table.members_by_id.get(self.table.random.choice(revived))
        if member is not None:
            self.messenger.request_table(member.endpoint)
