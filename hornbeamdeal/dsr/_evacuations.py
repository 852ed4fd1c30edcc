"""Availability zones that operators have evacuated: their servers get no new flows."""

from ._records import NO_REVISION, ZoneState

# An evacuation that a restored store has lost stays in force this long, which leaves the
# operator time to notice the loss and to write it again.
UNCONFIRMED_EVACUATION_SECONDS = 30.0


class ZoneRecord:
    """Whether a zone is evacuated, and since when this host knows.

    `learned_at` is in monotonic seconds. `expires_at` is set if the evacuation is
    unconfirmed, as a restored store has lost it.
    """

    __slots__ = ("expires_at", "is_evacuated", "learned_at", "revision")

    def __init__(self, is_evacuated: bool, revision: int, learned_at: float):
        self.is_evacuated = is_evacuated
        self.revision = revision
        self.learned_at = learned_at
        self.expires_at: float | None = None


class ZoneEvacuations:
    """Last known state of each zone that is or was evacuated.

    Within one epoch of the store, a zone's state with the higher revision wins. A
    restored store that lacks an evacuation may have lost it, so that it stays in force
    for a while; one that lists an evacuation which had ended here is followed.

    Attributes
    ----------
    records_by_zone : dict of str to ZoneRecord
        State of each zone, without those that were never evacuated.
    """

    __slots__ = ("records_by_zone", "_complete_revision")

    def __init__(self):
        self.records_by_zone: dict[str, ZoneRecord] = {}
        # Latest revision of which every state is known.
        self._complete_revision = 0

    def is_evacuated(self, zone: str) -> bool:
        """Return whether servers of a zone get no new flows."""
        record = self.records_by_zone.get(zone)
        return record is not None and record.is_evacuated

    def returned_at(self, zone: str) -> float:
        """Return when a zone's evacuation ended here, minus infinity if it did not."""
        record = self.records_by_zone.get(zone)
        if record is None or record.is_evacuated:
            return float("-inf")
        return record.learned_at

    @property
    def evacuated_zones(self) -> list[str]:
        """Return the evacuated zones, sorted."""
        return sorted(z for z in self.records_by_zone if self.is_evacuated(z))

    @property
    def has_unconfirmed(self) -> bool:
        """Return whether an evacuation is in force that a restored store has lost."""
        return any(r.expires_at is not None for r in self.records_by_zone.values())

    def start_epoch(self, now: float) -> list[str]:
        """Forget the revisions of the epoch before; return the evacuated zones.

        Their evacuations are unconfirmed until the new epoch lists them.
        """
        self._complete_revision = 0
        for record in self.records_by_zone.values():
            record.revision = NO_REVISION
            if record.is_evacuated and record.expires_at is None:
                record.expires_at = now + UNCONFIRMED_EVACUATION_SECONDS
        return self.evacuated_zones

    def apply(
        self,
        states: list[ZoneState],
        copied_revision: int | None,
        now: float,
        read_revision: int = NO_REVISION,
    ) -> list[str]:
        """Apply newer states; return the zones with a newer or another state.

        A newer revision is news even without a change: it confirms an evacuation that
        a restored store has lost, and peers must learn of that.

        `copied_revision` is the revision of a full copy or of the changes to another
        epoch, which list all evacuated zones, None if the states are changes.
        `read_revision` is that of a full read of the store that the states come from.
        """
        # What a copy lists without a revision is lost: its epoch does not list it.
        listed = {state.zone for state in states if state.revision != NO_REVISION}
        changed = [
            state.zone
            for state in states
            if self._apply_state(state, now, read_revision)
        ]
        # A zone may be evacuated and returned within one answer of the store.
        changed = list(dict.fromkeys(changed))
        if copied_revision is None:
            return changed
        for zone, record in self.records_by_zone.items():
            is_older = NO_REVISION < record.revision <= copied_revision
            if record.is_evacuated and is_older and zone not in listed:
                state = ZoneState(zone, False, copied_revision)
                changed += (
                    [zone] if self._apply_state(state, now, read_revision) else []
                )
        return changed

    def record_complete(self, revision: int) -> None:
        """Record that the states of all zones at a revision are known."""
        self._complete_revision = max(self._complete_revision, revision)

    def expire(self, now: float) -> list[str]:
        """End unconfirmed evacuations whose time is over; return their zones."""
        expired = [
            zone
            for zone, record in self.records_by_zone.items()
            if record.expires_at is not None and now >= record.expires_at
        ]
        for zone in expired:
            self.records_by_zone[zone] = ZoneRecord(False, NO_REVISION, now)
        return expired

    def state_of(self, zone: str, now: float) -> ZoneState:
        """Return the state of a known zone for an update."""
        record = self.records_by_zone[zone]
        expires_at = now if record.expires_at is None else record.expires_at
        return ZoneState(
            zone, record.is_evacuated, record.revision, max(0.0, expires_at - now)
        )

    def evacuated_states(self, now: float) -> list[ZoneState]:
        """Return the states of the evacuated zones for a full copy."""
        return [self.state_of(zone, now) for zone in self.evacuated_zones]

    def _apply_state(
        self, state: ZoneState, now: float, read_revision: int = NO_REVISION
    ) -> bool:
        """Apply a state that is newer; return whether it was."""
        record = self.records_by_zone.get(state.zone)
        if state.revision == NO_REVISION:
            return self._adopt_unconfirmed(state, record, now)
        known_revision = record.revision if record else NO_REVISION
        is_evacuated = record is not None and record.is_evacuated
        last_revision = max(known_revision, self._complete_revision)
        # A full read shows that a peer's copy lacked an evacuation, or its end.
        is_read_later = last_revision <= read_revision
        is_changed = is_evacuated != state.is_evacuated
        if state.revision <= last_revision and not (is_read_later and is_changed):
            return False
        if record is None or not (record.is_evacuated and state.is_evacuated):
            # A newer return ends an evacuation that this host has not seen.
            record = ZoneRecord(state.is_evacuated, state.revision, now)
            self.records_by_zone[state.zone] = record
        record.revision = state.revision
        record.expires_at = None
        return True

    def _adopt_unconfirmed(
        self, state: ZoneState, record: ZoneRecord | None, now: float
    ) -> bool:
        """Adopt a peer's unconfirmed evacuation unless the store has said otherwise.

        Return whether it begins here.
        """
        if not state.is_evacuated or not state.remaining_seconds:
            return False
        if record is not None and record.revision != NO_REVISION:
            return False
        remaining = min(state.remaining_seconds, UNCONFIRMED_EVACUATION_SECONDS)
        is_new = record is None or not record.is_evacuated
        if is_new:
            record = ZoneRecord(True, NO_REVISION, now)
            record.expires_at = now + remaining
            self.records_by_zone[state.zone] = record
        elif record.expires_at is not None:
            # This host may have heard of the restore later than the peer.
            record.expires_at = min(record.expires_at, now + remaining)
        return is_new
