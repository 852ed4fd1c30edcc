"""Hold-down of addresses that changed service."""

from hornbeamdeal.kernel import Endpoint, View

# 3 s until a version is in force on every running host, so that none serves the
# old service any more; 1 s for packets in the network; 1 s for a pause that is too
# short to be detected.
HOLD_DOWN_SECONDS = 5.0


class AddressHoldDown:
    """Tells which addresses must not be served yet on this host.

    With `hold_at_start` the addresses of the first view are held too, since a
    host that has just started cannot tell which of them changed service. Its
    driver reports ready once `starting` is False, so that it loses no packets.
    """

    __slots__ = (
        "_departed",
        "_start_ends",
        "_unchecked",
        "held_until_",
        "hold_at_start",
        "services_",
    )

    def __init__(self, hold_at_start: bool = True):
        self.hold_at_start = hold_at_start
        self.held_until_: dict[Endpoint, float] = {}
        self.services_: dict[Endpoint, str] | None = None
        self._departed: dict[Endpoint, tuple[str, float]] = {}
        self._start_ends: float | None = None
        self._unchecked = False

    def update(self, view: View, now: float) -> list[Endpoint]:
        """Take the view in force; return the endpoints that are held from now."""
        services = {e: a.service for e, a in view.addresses_by_endpoint.items()}
        self._forget(now)
        if self._start_ends is None:
            self._start_ends = now + HOLD_DOWN_SECONDS * self.hold_at_start
        newly_held = [
            endpoint
            for endpoint, service in services.items()
            if self._hold(endpoint, service, now)
        ]
        self._note_departed(services, now)
        self.services_ = services
        return newly_held

    def is_held(self, endpoint: Endpoint, now: float) -> bool:
        """Tell whether packets and requests to the endpoint must be refused."""
        if self._unchecked:
            return True
        return bool(self.held_until_) and now < self.held_until_.get(endpoint, now)

    def starting(self, now: float) -> bool:
        """Tell whether the hold of the first view is not over yet."""
        return self._start_ends is None or now < self._start_ends

    def note_pause(self, seconds: float) -> None:
        """Hold every address until the version is confirmed, after a pause.

        Holds are extended by the pause: packets that waited in the socket may be
        meant for the old service, and no time passed in which to drop them.
        """
        self._unchecked = True
        if self._start_ends is not None:
            self._start_ends += seconds
        self.held_until_ = {e: t + seconds for e, t in self.held_until_.items()}
        self._departed = {
            endpoint: (service, left_at + seconds)
            for endpoint, (service, left_at) in self._departed.items()
        }

    def confirm_version(self) -> None:
        """End the hold after a pause: the view is known to be the newest."""
        self._unchecked = False

    def _hold(self, endpoint: Endpoint, service: str, now: float) -> bool:
        until = self._hold_end(endpoint, service, now)
        if until is None or until <= now:
            return False
        self.held_until_[endpoint] = until
        return True

    def _hold_end(self, endpoint: Endpoint, service: str, now: float) -> float | None:
        """Return when the hold that starts now ends, None where there is none."""
        if self.services_ is None:
            return self._start_ends
        if endpoint in self.services_:
            moved = self.services_[endpoint] != service
            return now + HOLD_DOWN_SECONDS if moved else None
        last_service, left_at = self._departed.get(endpoint, (service, now))
        return left_at + HOLD_DOWN_SECONDS if last_service != service else None

    def _note_departed(self, services: dict[Endpoint, str], now: float) -> None:
        for endpoint in services:
            self._departed.pop(endpoint, None)
        for endpoint, service in (self.services_ or {}).items():
            if endpoint not in services:
                self._departed[endpoint] = (service, now)

    def _forget(self, now: float) -> None:
        self.held_until_ = {e: t for e, t in self.held_until_.items() if t > now}
        self._departed = {
            endpoint: (service, left_at)
            for endpoint, (service, left_at) in self._departed.items()
            if left_at + HOLD_DOWN_SECONDS > now
        }
