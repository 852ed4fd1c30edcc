"""Failure detection by direct and indirect probes."""

from dataclasses import dataclass

from hornbeamdeal.kernel import Endpoint, EntryHost

from ._messages import Messenger
from ._records import record_from_wire
from ._table import MemberTable

# Shares of the probe interval after which a probe is repeated through peers and
# after which it fails. A round trip within a region takes a few milliseconds; a
# quarter of a second also covers a garbage collection pause of the replying
# process, and the rest is for the indirect probe.
DIRECT_TIMEOUT_SHARE = 0.25
PROBE_TIMEOUT_SHARE = 0.5
INDIRECT_PROBE_PEERS = 3
INDIRECT_PROBE_LIFETIME_SECONDS = 2.0
# Several suspects at once probably mean a lost rack or zone, whose other hosts are
# found by a bounded burst of more frequent probes with unchanged timeouts. The
# cooldown between two bursts keeps false suspicions on a lossy link from
# prolonging a burst; enough confirmed suspects end the cooldown.
BURST_MINIMUM_SUSPECTS = 3
BURST_INTERVAL_SHARE = 0.15
BURST_SECONDS = 4.0
BURST_COOLDOWN_SECONDS = 16.0
# Average number of hosts in the region that probe a reported suspect at once, so
# that confirmations do not wait for regular probes.
EXPECTED_CONFIRMING_PROBES = 4


@dataclass(slots=True)
class Probe:
    """A probe that waits for a reply."""

    target: EntryHost
    nonces: set[int]
    indirect_due: float
    deadline: float
    is_indirect: bool = False


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe made on behalf of a peer."""

    requester_id: str
    requester: Endpoint
    nonce: int
    expires: float


class Prober:
    """Probes one member per interval, round-robin in random order (SWIM, 4.3)."""

    __slots__ = (
        "indirect_probes_by_nonce",
        "interval",
        "messenger",
        "next_due",
        "probes_by_id",
        "table",
        "_burst_end",
        "_probe_order",
    )

    def __init__(self, messenger: Messenger, interval: float, now: float):
        self.messenger = messenger
        self.table: MemberTable = messenger.table
        self.interval = interval
        self.next_due = now + self.table.random.uniform(0, interval)
        self.probes_by_id: dict[str, Probe] = {}
        self.indirect_probes_by_nonce: dict[int, IndirectProbe] = {}
        self._probe_order: list[str] = []
        self._burst_end = now - BURST_COOLDOWN_SECONDS

    def tick(self, now: float) -> list[EntryHost]:
        """Send probes that are due and return the targets of failed ones."""
        failed = []
        for host_id, probe in list(self.probes_by_id.items()):
            if not probe.is_indirect and now >= probe.indirect_due:
                self._probe_indirectly(probe)
            if now >= probe.deadline:
                del self.probes_by_id[host_id]
                failed.append(probe.target)
        if len(self.table.suspect_since_by_id) >= BURST_MINIMUM_SUSPECTS:
            self._start_burst(now)
        self._probe_reported_suspects(now)
        if now >= self.next_due:
            share = BURST_INTERVAL_SHARE if self.is_in_burst(now) else 1.0
            self.next_due = now + share * self.interval
            self._expire_indirect_probes(now)
            self._start_probe(self._next_target(), now)
        return failed

    def is_in_burst(self, now: float) -> bool:
        """Return whether a burst of more frequent probes is running."""
        return now < self._burst_end

    def cancel(self) -> None:
        """Cancel all pending probes without a result."""
        self.probes_by_id.clear()

    def probe_next(self, host_ids: list[str]) -> None:
        """Schedule these members as the next targets."""
        self._probe_order += host_ids

    def record_contact(self, host_id: str) -> None:
        """Treat any message from the target as a successful probe."""
        self.probes_by_id.pop(host_id, None)

    def record_reply(self, nonce: int, now: float) -> None:
        """Record the reply to a probe, and forward it if a peer requested it."""
        for host_id, probe in self.probes_by_id.items():
            if nonce in probe.nonces:
                del self.probes_by_id[host_id]
                break
        indirect_probe = self.indirect_probes_by_nonce.pop(nonce, None)
        if indirect_probe and now < indirect_probe.expires:
            self.messenger.reply(
                indirect_probe.requester_id,
                indirect_probe.requester,
                indirect_probe.nonce,
            )

    def probe_on_behalf(
        self, requester_id: str, requester: Endpoint, request, now
    ) -> None:
        """Probe a member on behalf of a peer."""
        target = record_from_wire(request.target) if request.target else None
        if target is None or target.host_id == self.table.own_id:
            return
        nonce = self.messenger.ping(target)
        self.indirect_probes_by_nonce[nonce] = IndirectProbe(
            requester_id,
            requester,
            request.nonce,
            now + INDIRECT_PROBE_LIFETIME_SECONDS,
        )

    def _start_burst(self, now: float) -> None:
        """Start a burst unless one is running or the cooldown applies."""
        if self.is_in_burst(now):
            return
        is_cooling_down = now < self._burst_end + BURST_COOLDOWN_SECONDS
        if (
            is_cooling_down
            and self._count_confirmed_suspects() < BURST_MINIMUM_SUSPECTS
        ):
            return
        self._burst_end = now + BURST_SECONDS
        soon = now + self.table.random.uniform(0, BURST_INTERVAL_SHARE * self.interval)
        self.next_due = min(self.next_due, soon)

    def _count_confirmed_suspects(self) -> int:
        is_confirmed = self.table.accusations.is_confirmed
        return sum(map(is_confirmed, self.table.suspect_since_by_id))

    def _probe_reported_suspects(self, now: float) -> None:
        reported = self.table.accusations.reported_suspects
        for host_id in reported:
            target = self.table.members_by_id.get(host_id)
            peers = len(self.table.peer_ids())
            if (
                target
                and self.table.random.random() * peers < EXPECTED_CONFIRMING_PROBES
            ):
                self._start_probe(target, now)
        reported.clear()

    def _start_probe(self, target: EntryHost | None, now: float) -> None:
        if target is not None and target.host_id not in self.probes_by_id:
            self.probes_by_id[target.host_id] = Probe(
                target,
                {self.messenger.ping(target)},
                indirect_due=now + DIRECT_TIMEOUT_SHARE * self.interval,
                deadline=now + PROBE_TIMEOUT_SHARE * self.interval,
            )

    def _probe_indirectly(self, probe: Probe) -> None:
        probe.is_indirect = True
        probe.nonces.add(self.messenger.ping(probe.target))
        nonce = min(probe.nonces)
        helpers = self.table.sample_peers(INDIRECT_PROBE_PEERS, probe.target.host_id)
        for helper in helpers:
            self.messenger.request_indirect_probe(helper, probe.target, nonce)

    def _next_target(self) -> EntryHost | None:
        for _ in range(2):
            reachable = set(self.table.peer_ids())
            while self._probe_order:
                host_id = self._probe_order.pop()
                if host_id in reachable:
                    return self.table.members_by_id[host_id]
            self._probe_order = list(self.table.peer_ids())
            self.table.random.shuffle(self._probe_order)
        return None

    def _expire_indirect_probes(self, now: float) -> None:
        expired = [
            n for n, p in self.indirect_probes_by_nonce.items() if p.expires <= now
        ]
        for nonce in expired:
            del self.indirect_probes_by_nonce[nonce]
