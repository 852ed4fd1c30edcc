"""Joining through seeds, and contact with members that were lost."""

from hornbeamdeal.kernel import Endpoint, PeerReceived

from ._messages import Messenger

JOIN_INTERVAL_SECONDS = 0.5
# One lost member or seed is contacted per interval, so that the two sides of
# a healed partition find each other; the rate does not depend on how many
# members were lost.
HEAL_INTERVAL_SECONDS = 1.0
# A full exchange repairs updates that gossip missed; 290 records are 28 KB.
SYNC_INTERVAL_SECONDS = 20.0
# Hosts that start together know few of each other at first, so a new host
# exchanges earlier; the interval doubles up to the regular one.
FIRST_SYNC_SECONDS = 1.0
# After a partition all hosts exchange tables, and those that came back first
# are asked by all. 290 records are 28 KB, so a host answers known members this
# far apart; who got no answer soon asks another host.
ANSWER_SECONDS = 1.25
RETRY_SECONDS = 0.5
# Claims of deaths that are checked with the accused hosts per gossip interval.
DOUBTS_PER_ROUND = 3
# After several deaths within a few seconds hosts push them to random peers, so
# that one that missed the gossip does not wait for its own probes. A loss of
# 111 hosts takes 4 KB a push.
PUSH_INTERVAL_SECONDS = 1.0
PUSHED_DEATHS = 3
PUSH_WINDOW_SECONDS = 5.0
PUSH_FANOUT = 1


class Healer:
    """Finds members: seeds at the start, lost ones later."""

    __slots__ = (
        "joined",
        "messenger",
        "seeds",
        "table",
        "_answer_due",
        "_heal_due",
        "_push_due",
        "_revived_due",
        "_sync_due",
        "_sync_interval",
    )

    def __init__(self, messenger: Messenger, seeds: tuple[Endpoint, ...], now: float):
        self.messenger = messenger
        self.table = messenger.table
        self.seeds = seeds
        self.joined = False
        self._heal_due = now
        self._push_due = now
        self._revived_due = now
        self._answer_due = now
        self._sync_interval = FIRST_SYNC_SECONDS
        self._sync_due = now + self._sync_interval

    def tick(self, now: float) -> None:
        """Contact what is due."""
        if now >= self._heal_due:
            interval = HEAL_INTERVAL_SECONDS if self.joined else JOIN_INTERVAL_SECONDS
            self._heal_due = now + interval * self.table.random.uniform(0.8, 1.2)
            self._contact_one()
        if now >= self._push_due:
            jitter = self.table.random.uniform(0.8, 1.2)
            self._push_due = now + PUSH_INTERVAL_SECONDS * jitter
            self._push_deaths(now)
        if self.table.revived and now >= self._revived_due:
            self._revived_due = now + RETRY_SECONDS
            self._sync_with_revived()
        if now >= self._sync_due:
            self.sync(now, 1)

    def sync(self, now: float, count: int) -> None:
        """Ask random peers for all members they know."""
        jitter = self.table.random.uniform(0.8, 1.2)
        self._sync_interval = min(2 * self._sync_interval, SYNC_INTERVAL_SECONDS)
        self._sync_due = now + self._sync_interval * jitter
        for peer in self.table.sample_peers(count):
            self.messenger.join(peer.endpoint)

    def note_answer(self, now: float) -> None:
        """Take note of a received table; the next exchange can wait."""
        self.joined = True
        self.table.revived.clear()
        self._revived_due = now + ANSWER_SECONDS

    def answer(self, event: PeerReceived, now: float) -> None:
        """Send the members known: to new hosts at once, to others at a bounded rate."""
        known = self.table.members_by_id.get(event.host_id)
        if known is not None and known.incarnation >= event.incarnation:
            if now < self._answer_due:
                return
            self._answer_due = now + ANSWER_SECONDS
        self.messenger.answer_join(event.endpoint)

    def check_doubts(self) -> list[str]:
        """Tell accused members of the claims against them; return whom."""
        doubts = self.table.doubts_by_id
        told = []
        for host_id in list(doubts)[:DOUBTS_PER_ROUND]:
            claim = doubts.pop(host_id)
            known = self.table.members_by_id.get(host_id)
            if known is not None and known.sequence <= claim.sequence:
                self.messenger.ping(known, claim)
                told.append(host_id)
        return told

    def _contact_one(self) -> None:
        table = self.table
        reachable = {table.members_by_id[i].endpoint for i in table.peer_ids()}
        reachable.add(table.own.endpoint)
        lost = [table.members_by_id[i] for i in table.dead_since_by_id]
        lost_endpoints = {member.endpoint for member in lost}
        strangers = [e for e in self.seeds if e not in reachable | lost_endpoints]
        if not lost and not strangers:
            return
        choice = table.random.randrange(len(lost) + len(strangers))
        if choice < len(lost):
            self.messenger.ping(lost[choice])
        else:
            self.messenger.join(strangers[choice - len(lost)])

    def _push_deaths(self, now: float) -> None:
        since_by_id = self.table.dead_since_by_id
        recent = [i for i, at in since_by_id.items() if now - at < PUSH_WINDOW_SECONDS]
        if len(recent) >= PUSHED_DEATHS and now >= self.table.healing_until:
            self.messenger.push_deaths(self.table.sample_peers(PUSH_FANOUT), recent)

    def _sync_with_revived(self) -> None:
        """Ask one host that came back for what its side of the partition knows."""
        revived = sorted(self.table.revived)
        member = self.table.members_by_id.get(self.table.random.choice(revived))
        if member is not None:
            self.messenger.join(member.endpoint)
