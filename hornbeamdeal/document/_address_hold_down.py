"""Hold-down of service addresses after they move from one service to another."""

from hornbeamdeal.kernel import ClusterView, Endpoint

# Sum of 3 s until a version is in force on every running host, so that none maps the
# address to the old service; 1 s for packets in the network; and 1 s for a pause that
# is too short to be detected.
HOLD_DOWN_SECONDS = 5.0


class AddressHoldDown:
    """Tracks the addresses whose traffic this host must refuse for now.

    An address is held after it moves to another service. With `hold_at_start` the
    addresses of the first view are held too, because a host that has just started
    does not know which of them moved recently. The driver reports ready only when
    `is_in_start_hold` returns False, so no packets are lost to this hold.
    """

    __slots__ = (
        "_removed_addresses",
        "_start_hold_ends_at",
        "_version_unconfirmed",
        "held_until_",
        "hold_at_start",
        "services_by_endpoint_",
    )

    def __init__(self, hold_at_start: bool = True):
        self.hold_at_start = hold_at_start
        self.held_until_: dict[Endpoint, float] = {}
        self.services_by_endpoint_: dict[Endpoint, str] | None = None
        self._removed_addresses: dict[Endpoint, tuple[str, float]] = {}
        self._start_hold_ends_at: float | None = None
        self._version_unconfirmed = False

    def update(self, view: ClusterView, now: float) -> list[Endpoint]:
        """Apply a new view and return the endpoints whose hold starts now."""
        services = {e: a.service for e, a in view.addresses_by_endpoint.items()}
        self._discard_expired(now)
        if self._start_hold_ends_at is None:
            self._start_hold_ends_at = now + HOLD_DOWN_SECONDS * self.hold_at_start
        newly_held = [
            endpoint
            for endpoint, service in services.items()
            if self._start_hold(endpoint, service, now)
        ]
        self._record_removed(services, now)
        self.services_by_endpoint_ = services
        return newly_held

    def is_held(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether packets and requests to the endpoint must be refused."""
        if self._version_unconfirmed:
            return True
        return bool(self.held_until_) and now < self.held_until_.get(endpoint, now)

    def is_in_start_hold(self, now: float) -> bool:
        """Return whether the addresses of the first view are still held."""
        return self._start_hold_ends_at is None or now < self._start_hold_ends_at

    def extend_after_pause(self, seconds: float) -> None:
        """Extend all holds by a pause, and hold every address until the check ends.

        Packets that waited in the socket during the pause may be meant for the old
        service, and the paused host could not drop them. Every address is held until
        `end_pause_hold` is called. `seconds` is the length of the pause.
        """
        self._version_unconfirmed = True
        if self._start_hold_ends_at is not None:
            self._start_hold_ends_at += seconds
        self.held_until_ = {e: t + seconds for e, t in self.held_until_.items()}
        self._removed_addresses = {
            endpoint: (service, removed_at + seconds)
            for endpoint, (service, removed_at) in self._removed_addresses.items()
        }

    def end_pause_hold(self) -> None:
        """End the hold that a pause began, at the end of the pause check."""
        self._version_unconfirmed = False

    def _start_hold(self, endpoint: Endpoint, service: str, now: float) -> bool:
        hold_end = self._hold_end(endpoint, service, now)
        if hold_end is None or hold_end <= now:
            return False
        self.held_until_[endpoint] = hold_end
        return True

    def _hold_end(self, endpoint: Endpoint, service: str, now: float) -> float | None:
        """Return when a hold that starts now would end, or None if none is needed."""
        if self.services_by_endpoint_ is None:
            return self._start_hold_ends_at
        if endpoint in self.services_by_endpoint_:
            has_moved = self.services_by_endpoint_[endpoint] != service
            return now + HOLD_DOWN_SECONDS if has_moved else None
        previous_service, removed_at = self._removed_addresses.get(
            endpoint, (service, now)
        )
        return removed_at + HOLD_DOWN_SECONDS if previous_service != service else None

    def _record_removed(self, services: dict[Endpoint, str], now: float) -> None:
        for endpoint in services:
            self._removed_addresses.pop(endpoint, None)
        for endpoint, service in (self.services_by_endpoint_ or {}).items():
            if endpoint not in services:
                self._removed_addresses[endpoint] = (service, now)

    def _discard_expired(self, now: float) -> None:
        self.held_until_ = {e: t for e, t in self.held_until_.items() if t > now}
        self._removed_addresses = {
            endpoint: (service, removed_at)
            for endpoint, (service, removed_at) in self._removed_addresses.items()
            if removed_at + HOLD_DOWN_SECONDS > now
        }
