"""Incremental scan of the flow table that sends records to their holders."""

from typing import Any

from ._keys import is_opening_key
from ._ownership import HostSet
from ._state import FlowState
from ._table import TableEntry

# A slice takes up to about 15 ms; a table of 262,144 slots takes two slices.
SLOTS_PER_TICK = 1 << 17
FLOWS_PER_TICK = 4096


class TableScan:
    """Hands over records after a change; otherwise refreshes and expires them.

    A flow counts as open for `idle_seconds` after its last packet. Its record is
    kept for `record_seconds`, so that the host still relays packets of a flow that
    it has not seen for long to the flow's owner.
    """

    __slots__ = ("idle_seconds", "refresh_seconds", "opening_seconds")
    __slots__ += ("record_seconds", "_state", "_position", "_is_running")
    __slots__ += (
        "_started_at",
        "_refreshed_from",
        "_hosts_changed",
        "_recently_joined",
    )

    def __init__(
        self, state, idle_seconds, refresh_seconds, opening_seconds, **parameters
    ):
        self.idle_seconds: float = idle_seconds
        self.refresh_seconds: float = refresh_seconds
        self.opening_seconds: float = opening_seconds
        self.record_seconds: float = parameters["record_seconds"]
        self._state: FlowState = state
        self._position = 0
        self._is_running = False
        self._started_at = 0.0
        self._refreshed_from = 0.0
        self._hosts_changed = False
        self._recently_joined: set[str] = set()

    def restart(self, hosts_changed: bool, now: float) -> None:
        """Start the scan from the first slot."""
        self._hosts_changed |= hosts_changed
        self._recently_joined = self._state.ownership.recently_joined(now)
        self._position = 0
        self._is_running = True
        self._started_at = now

    def advance(self, now: float) -> list[Any]:
        """Scan the next slice; return the completion messages once all is sent."""
        if not self._is_running:
            if now - self._started_at < self.refresh_seconds:
                return []
            self.restart(False, now)
        if self._position < len(self._state.table):
            self._process_slice(now)
        is_done = self._position >= len(self._state.table)
        if not is_done or not self._state.handover_outbox.is_empty():
            return []
        self._finish()
        return self._state.completion_messages()

    def hand_over_all(self, now: float) -> list[Any]:
        """Return messages with all records in use, for a host that is stopping.

        The recipients are the holders without this host. Flows on their current
        choice are included: if only this host has seen one lately, other hosts
        could not tell it from a new flow after the next change.
        """
        state = self._state
        state.is_stopping = True
        own_id = state.ownership.own_id
        successors = HostSet(state.ownership.future.host_ids - {own_id})
        for slot in state.table.occupied(0, len(state.table)):
            entry = state.table.entry(slot, now)
            if entry.age > self._open_seconds(entry.key):
                continue
            holders = successors.holders(entry.key)
            recipients = holders.others("") if entry.tracked else [holders.owner]
            for host_id in filter(None, recipients):
                state.handover_outbox.add(host_id, entry.key, entry.digest)
        number, digest = state.version_number, state.routes.digest
        return state.handover_outbox.send_all(state.ownership, number, digest)

    def _open_seconds(self, key: int) -> float:
        return self.opening_seconds if is_opening_key(key) else self.idle_seconds

    def _finish(self) -> None:
        self._is_running = False
        self._hosts_changed = False
        self._refreshed_from = self._started_at
        self._state.changed_services.clear()
        self._state.ownership.complete_handover()

    def _process_slice(self, now: float) -> None:
        stop = self._position + SLOTS_PER_TICK
        slots = self._state.table.occupied(self._position, stop)
        for processed, slot in enumerate(slots):
            if processed == FLOWS_PER_TICK:
                self._position = slot
                return
            self._process(self._state.table.entry(slot, now), now)
        self._position = stop

    def _process(self, entry: TableEntry, now: float) -> None:
        state = self._state
        if self._is_expired(entry):
            state.table.remove(entry.slot)
            return
        if is_opening_key(entry.key):
            recipients = self._new_holders(entry.key)
        else:
            recipients = self._recipients_of_flow(entry, now)
        for host_id in recipients:
            state.handover_outbox.add(host_id, entry.key, entry.digest)

    def _is_expired(self, entry: TableEntry) -> bool:
        if is_opening_key(entry.key):
            return entry.age > self.opening_seconds
        is_gone = entry.digest not in self._state.routes.servers_by_digest
        return is_gone or entry.age > self.record_seconds

    def _recipients_of_flow(self, entry: TableEntry, now: float) -> set[str]:
        state = self._state
        server = state.routes.servers_by_digest[entry.digest]
        tracked, is_changed = entry.tracked, server.service in state.changed_services
        if is_changed:
            tracked = state.differs_from_choice(server, entry.key)
            state.table.set_tracked(entry.slot, tracked)
        if not tracked or entry.age > self.idle_seconds + self.refresh_seconds:
            return set()
        recipients = self._new_holders(entry.key) | self._recently_joined_recipients(
            entry.key
        )
        if is_changed or now - entry.age >= self._refreshed_from:
            recipients |= self._refresh_recipients(entry.key, is_changed)
        return recipients

    def _refresh_recipients(self, key: int, is_changed: bool) -> set[str]:
        """Return the owner, or the backup if this host is the owner.

        The backup does not refresh the owner's record, as it cannot tell packets
        from the owner's refreshes: the two would keep the record alive for ever.
        """
        own_id = self._state.ownership.own_id
        holders = self._state.ownership.future.holders(key)
        if own_id == holders.owner:
            return {holders.backup} - {""}
        if own_id == holders.backup and not is_changed:
            return set()
        return {holders.owner} - {""}

    def _new_holders(self, key: int) -> set[str]:
        ownership = self._state.ownership
        if not self._hosts_changed or not ownership.sends_to_new_holders(key):
            return set()
        before = ownership.previous.holders(key)
        after = ownership.future.holders(key)
        return set(after.others(ownership.own_id)) - set(before.others(""))

    def _recently_joined_recipients(self, key: int) -> set[str]:
        ownership = self._state.ownership
        if not self._recently_joined or not self._hosts_changed:
            return set()
        is_owner = ownership.current.holders(key).owner == ownership.own_id
        return self._recently_joined if is_owner else set()
