"""Failure detection by direct and indirect probes."""

from dataclasses import dataclass

from hornbeamdeal.kernel import Endpoint, EntryHost

from ._messages import Messenger
from ._records import from_wire
from ._table import MemberTable

# Shares of the probe interval. A round trip within a region takes a few
# milliseconds; a quarter of a second leaves room for a collection pause of the
# answering process, and the rest for the way through peers.
DIRECT_SHARE = 0.25
VERDICT_SHARE = 0.5
INDIRECT_PEERS = 3
RELAY_LIFETIME_SECONDS = 2.0
# Several suspects at once are likely a lost rack or zone. Its other hosts are
# found by faster probes for a bounded time, with the same time to answer. The
# rest between two bursts keeps false suspicions on a lossy link from
# prolonging them; suspects that several hosts confirm end the rest.
BURST_SUSPECTS = 3
BURST_SHARE = 0.15
BURST_SECONDS = 4.0
BURST_REST_SECONDS = 16.0
# Hosts of the region that probe a suspect at once when they hear of it, on
# average, so that confirmations do not wait for regular probes.
CONFIRMING_PROBES = 4


@dataclass(slots=True)
class Probe:
    """The probe of the current interval."""

    target: EntryHost
    nonces: set[int]
    indirect_due: float
    verdict_due: float
    asked_peers: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe made for a peer."""

    requester_id: str
    requester: Endpoint
    nonce: int
    expires: float


class Prober:
    """Probes one member per interval in shuffled round robin (SWIM, 4.3)."""

    __slots__ = (
        "interval",
        "messenger",
        "next_due",
        "probes_by_id",
        "relayed_by_nonce",
        "table",
        "_burst_ends",
        "_round",
    )

    def __init__(self, messenger: Messenger, interval: float, now: float):
        self.messenger = messenger
        self.table: MemberTable = messenger.table
        self.interval = interval
        self.next_due = now + self.table.random.uniform(0, interval)
        self.probes_by_id: dict[str, Probe] = {}
        self.relayed_by_nonce: dict[int, RelayedProbe] = {}
        self._round: list[str] = []
        self._burst_ends = now - BURST_REST_SECONDS

    def tick(self, now: float) -> list[EntryHost]:
        """Do what is due; return the targets of probes that failed."""
        failed = []
        for host_id, probe in list(self.probes_by_id.items()):
            if not probe.asked_peers and now >= probe.indirect_due:
                self._ask_peers(probe)
            if now >= probe.verdict_due:
                del self.probes_by_id[host_id]
                failed.append(probe.target)
        if len(self.table.suspect_since_by_id) >= BURST_SUSPECTS:
            self._start_burst(now)
        self._confirm_suspects(now)
        if now >= self.next_due:
            share = BURST_SHARE if self.is_in_burst(now) else 1.0
            self.next_due = now + share * self.interval
            self._expire_relays(now)
            self._start_probe(self._next_target(), now)
        return failed

    def is_in_burst(self, now: float) -> bool:
        """Tell whether probes are more frequent now."""
        return now < self._burst_ends

    def cancel(self) -> None:
        """Drop all probes: nothing follows from them."""
        self.probes_by_id.clear()

    def prefer(self, host_ids: list[str]) -> None:
        """Probe these members next."""
        self._round += host_ids

    def note_contact(self, host_id: str) -> None:
        """Count any message from the target as an answer."""
        self.probes_by_id.pop(host_id, None)

    def note_reply(self, nonce: int, now: float) -> None:
        """Take an answer to an own probe or to one made for a peer."""
        for host_id, probe in self.probes_by_id.items():
            if nonce in probe.nonces:
                del self.probes_by_id[host_id]
                break
        relayed = self.relayed_by_nonce.pop(nonce, None)
        if relayed and now < relayed.expires:
            self.messenger.reply(relayed.requester_id, relayed.requester, relayed.nonce)

    def probe_for(self, requester_id: str, requester: Endpoint, request, now) -> None:
        """Probe a third host for a peer."""
        target = from_wire(request.target) if request.target else None
        if target is None or target.host_id == self.table.own_id:
            return
        nonce = self.messenger.ping(target)
        self.relayed_by_nonce[nonce] = RelayedProbe(
            requester_id, requester, request.nonce, now + RELAY_LIFETIME_SECONDS
        )

    def _start_burst(self, now: float) -> None:
        """Probe faster for a while."""
        if self.is_in_burst(now):
            return
        is_resting = now < self._burst_ends + BURST_REST_SECONDS
        if is_resting and self._confirmed_suspects() < BURST_SUSPECTS:
            return
        self._burst_ends = now + BURST_SECONDS
        soon = now + self.table.random.uniform(0, BURST_SHARE * self.interval)
        self.next_due = min(self.next_due, soon)

    def _confirmed_suspects(self) -> int:
        is_confirmed = self.table.accusations.is_confirmed
        return sum(map(is_confirmed, self.table.suspect_since_by_id))

    def _confirm_suspects(self, now: float) -> None:
        reported = self.table.accusations.reported_suspects
        for host_id in reported:
            target = self.table.members_by_id.get(host_id)
            peers = len(self.table.peer_ids())
            if target and self.table.random.random() * peers < CONFIRMING_PROBES:
                self._start_probe(target, now)
        reported.clear()

    def _start_probe(self, target: EntryHost | None, now: float) -> None:
        if target is not None and target.host_id not in self.probes_by_id:
            self.probes_by_id[target.host_id] = Probe(
                target,
                {self.messenger.ping(target)},
                indirect_due=now + DIRECT_SHARE * self.interval,
                verdict_due=now + VERDICT_SHARE * self.interval,
            )

    def _ask_peers(self, probe: Probe) -> None:
        probe.asked_peers = True
        probe.nonces.add(self.messenger.ping(probe.target))
        nonce = min(probe.nonces)
        helpers = self.table.sample_peers(INDIRECT_PEERS, probe.target.host_id)
        for helper in helpers:
            self.messenger.request_indirect_probe(helper, probe.target, nonce)

    def _next_target(self) -> EntryHost | None:
        for _ in range(2):
            reachable = set(self.table.peer_ids())
            while self._round:
                host_id = self._round.pop()
                if host_id in reachable:
                    return self.table.members_by_id[host_id]
            self._round = list(self.table.peer_ids())
            self.table.random.shuffle(self._round)
        return None

    def _expire_relays(self, now: float) -> None:
        expired = [n for n, r in self.relayed_by_nonce.items() if r.expires <= now]
        for nonce in expired:
            del self.relayed_by_nonce[nonce]
