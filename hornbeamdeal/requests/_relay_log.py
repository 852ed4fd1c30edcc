"""Log of the requests relayed to the issuers of their run tokens.

The issuer answers the caller itself. The relaying host does not acknowledge a
relayed request, so the caller retransmits it if the relay is lost. The log is
needed for one case only: the issuer dies after it has acknowledged the request.
The relaying host then answers "outcome unknown" as soon as the issuer is dead in
its view. The log keeps a request beyond its deadline, because membership may
need longer than a short deadline to detect a death.
"""

from dataclasses import dataclass, replace

from hornbeamdeal.kernel import ClusterView, Endpoint, HostState, Request

from ._exchange import CallerKey, caller_key

SWEEP_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Relay:
    """A relayed request; times are in monotonic seconds.

    The request is kept without its payload; the digest of its datagram
    distinguishes it from other requests of the caller.
    """

    request: Request
    datagram_digest: int
    started: float
    deadline: float


class RelayLog:
    """Open relays by incarnation of the issuer.

    Parameters
    ----------
    grace : float
        Seconds after which a relay to an issuer missing from the view ends.
    maximum : int
        Number of logged relays.
    detection : float
        Seconds after its deadline for which a relay is kept, so that a late
        detected death of its issuer still ends it.
    """

    __slots__ = (
        "count_",
        "detection",
        "grace",
        "maximum",
        "next_sweep_",
        "relays_by_incarnation_",
        "states_by_incarnation_",
    )

    def __init__(self, *, grace: float, maximum: int, detection: float):
        self.grace = grace
        self.detection = detection
        self.maximum = maximum
        self.relays_by_incarnation_: dict[int, dict[CallerKey, Relay]] = {}
        self.states_by_incarnation_: dict[int, HostState] = {}
        self.count_ = 0
        self.next_sweep_ = 0.0

    def update(self, view: ClusterView) -> None:
        """Read the hosts' incarnations and states from a view."""
        self.states_by_incarnation_ = {
            host.incarnation: host.state for host in view.hosts_by_id.values()
        }

    def is_gone(self, incarnation: int) -> bool:
        """Return whether this incarnation is dead in the view or reported as gone."""
        return self.states_by_incarnation_.get(incarnation) is HostState.DEAD

    def mark_gone(self, incarnation: int) -> None:
        """Record a peer's report that another process runs at its endpoint."""
        self.states_by_incarnation_[incarnation] = HostState.DEAD

    def add(self, incarnation: int, relay: Relay) -> bool:
        """Log a relay, and return whether the log had room for it."""
        relays = self.relays_by_incarnation_.setdefault(incarnation, {})
        key = caller_key(relay.request)
        previous = relays.get(key)
        if previous is not None:
            # A retransmission does not restart the grace time of an unknown issuer.
            relays[key] = replace(relay, started=previous.started)
            return True
        if self.count_ >= self.maximum:
            return False
        relays[key] = relay
        self.count_ += 1
        return True

    def remove(self, caller: Endpoint, address: Endpoint, message_id: int) -> None:
        """Remove a relay that its caller has cancelled."""
        for relays in self.relays_by_incarnation_.values():
            if relays.pop((caller, address, message_id), None) is not None:
                self.count_ -= 1
                return

    def sweep(self, now: float) -> list[Relay]:
        """Remove expired relays and those of lost issuers; return the latter."""
        if now < self.next_sweep_:
            return []
        self.next_sweep_ = now + SWEEP_SECONDS
        ended = []
        for incarnation in list(self.relays_by_incarnation_):
            ended += self._sweep_issuer(incarnation, now)
        return ended

    def sweep_now(self, now: float) -> list[Relay]:
        """Sweep at once, after a change of an issuer's state."""
        self.next_sweep_ = now
        return self.sweep(now)

    def _sweep_issuer(self, incarnation: int, now: float) -> list[Relay]:
        relays = self.relays_by_incarnation_[incarnation]
        is_known = incarnation in self.states_by_incarnation_
        is_gone = self.is_gone(incarnation)
        state = self.states_by_incarnation_.get(incarnation)
        is_suspect = state is HostState.SUSPECT
        ended = []
        for key, relay in list(relays.items()):
            is_overdue = is_suspect and now >= relay.deadline
            has_ended = (
                is_gone
                or is_overdue
                or (not is_known and now >= relay.started + self.grace)
            )
            if has_ended:
                ended.append(relay)
            if has_ended or now >= relay.deadline + self.detection:
                del relays[key]
                self.count_ -= 1
        if not relays:
            del self.relays_by_incarnation_[incarnation]
        return ended
