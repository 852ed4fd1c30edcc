"""Builds updates of the catalog from the items of the store."""

import reprlib
from base64 import b64decode
from typing import Any

from hornbeamdeal.dsr import Journal, Server, Update, ZoneState

from ._configuration import decode_configuration
from ._entries import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    SERVER_PREFIX,
    EntryError,
    check_key,
    decode_evacuated_zone,
    decode_server,
)

# Messages between hosts carry revisions and epochs in 64 bits.
MAXIMUM_REVISION = 2**63 - 1
# An entry of a server has nine fields. JSON of this size takes some 2 MB once decoded, and
# the largest value of the store more than a small machine has free.
MAXIMUM_ENTRY_BYTES = 65_536
# Problems of a configuration that its log line names at most.
MAXIMUM_LOGGED_PROBLEMS = 5
# Unusable entries that are remembered, so that each is logged once. A key has up to 200
# bytes, and any number of them may be in the store.
MAXIMUM_REPORTED_ENTRIES = 1_000


def check_revision(value: Any) -> int:
    """Return a revision of the store; raise TypeError if it is none."""
    if not isinstance(value, int) or not 0 <= value <= MAXIMUM_REVISION:
        raise TypeError(f"{reprlib.repr(value)} is not a revision")
    return value


def _decode_value(text: str, maximum_bytes: int) -> bytes:
    """Return an item's value; raise EntryError, ValueError or TypeError if unusable."""
    # Base64 encodes three bytes as four characters.
    byte_count = len(text) // 4 * 3
    if byte_count - 2 > maximum_bytes:
        raise EntryError(f"{byte_count} bytes are more than {maximum_bytes}")
    return b64decode(text, validate=True)


class UnusableEntries:
    """Logs and counts unusable entries of the store, each of them once.

    Those beyond `MAXIMUM_REPORTED_ENTRIES` are only counted, at each read.

    Parameters
    ----------
    journal : Journal
        Receives log events and counters.

    Attributes
    ----------
    epoch : int or None
        Epoch of the store that the entries are read in.
    positions_by_key : dict of str to tuple
        Epoch and revision of each entry that was reported.
    """

    __slots__ = ("epoch", "journal", "positions_by_key")

    def __init__(self, *, journal: Journal):
        self.journal = journal
        self.epoch: int | None = None
        self.positions_by_key: dict[str, tuple[int | None, int]] = {}

    def report(self, key: str, revision: int, problem: str) -> None:
        """Report an entry that can't be used."""
        if self._is_full(key):
            self.journal.count("entries_unusable", "not_logged")
        elif self._is_news(key, revision):
            self.journal.count("entries_unusable")
            self.journal.event("entry_unusable", key=key, problem=problem)

    def report_configuration(
        self, version: int, revision: int, problems: list[str]
    ) -> None:
        """Report the parts of a configuration that can't be used."""
        if self._is_full(CONFIG_KEY) or not self._is_news(CONFIG_KEY, revision):
            return
        self.journal.count("configuration_problems", amount=len(problems))
        self.journal.event(
            "configuration_problems",
            version=version,
            count=len(problems),
            problems="; ".join(problems[:MAXIMUM_LOGGED_PROBLEMS]),
        )

    def forget(self, key: str) -> None:
        """Forget an entry that the store no longer has."""
        self.positions_by_key.pop(key, None)

    def _is_full(self, key: str) -> bool:
        is_known = key in self.positions_by_key
        return not is_known and len(self.positions_by_key) >= MAXIMUM_REPORTED_ENTRIES

    def _is_news(self, key: str, revision: int) -> bool:
        """Return whether problems of a key's entry are not reported yet."""
        position = (self.epoch, revision)
        if self.positions_by_key.get(key) == position:
            return False
        self.positions_by_key[key] = position
        return True


class UpdateBuilder:
    """Builds one update, page by page, and keeps nothing of an item but its entry.

    Parameters
    ----------
    update : Update
        Receives the entries. That of a full read has `base_revision` None.
    unusable : UnusableEntries
        Reports items that can't be used.

    Attributes
    ----------
    has_configuration : bool
        Whether an item with the key of the configuration was added.
    """

    __slots__ = (
        "has_configuration",
        "unusable",
        "update",
        "_servers_by_id",
        "_unseen_keys",
    )

    def __init__(self, *, update: Update, unusable: UnusableEntries):
        self.update = update
        self.unusable = unusable
        self.has_configuration = False
        self._servers_by_id: dict[str, Server] = {}
        # Reported entries that a full read has not come to.
        self._unseen_keys = set(unusable.positions_by_key if self._is_full else ())

    @property
    def _is_full(self) -> bool:
        return self.update.base_revision is None

    def add(self, items: list[Any]) -> None:
        """Add items in their order; raise an error of the item's type if one is invalid.

        The store reports changes in the order of their revisions, so that a later one
        replaces what it follows.
        """
        for item in items:
            self._add_item(item)

    def build(self) -> Update:
        """Return the update."""
        self.update.servers = list(self._servers_by_id.values())
        for key in self._unseen_keys:
            self.unusable.forget(key)
        return self.update

    def _add_item(self, item: dict[str, Any]) -> None:
        key, revision = item["key"], check_revision(item["revision"])
        is_deleted = bool(item.get("deleted"))
        self._unseen_keys.discard(key)
        if is_deleted:
            self.unusable.forget(key)
        try:
            check_key(key)
        except EntryError as error:
            # Peers are not told, since no host can list a server under such a key.
            if not is_deleted:
                self.unusable.report(key, revision, str(error))
            return
        if key == CONFIG_KEY:
            self.has_configuration = not is_deleted
            if not is_deleted:
                self._set_routes(b64decode(item["value"]), revision)
        elif key.startswith(EVACUATION_PREFIX):
            self._add_evacuation(key, revision, is_deleted)
        elif key.startswith(SERVER_PREFIX):
            server_id = key.removeprefix(SERVER_PREFIX)
            server = None if is_deleted else self._decode_server(server_id, item)
            self._add_server(server_id, revision, server)

    def _add_server(self, server_id: str, revision: int, server: Server | None) -> None:
        self._servers_by_id.pop(server_id, None)
        if server is not None:
            self.update.removed.pop(server_id, None)
            self._servers_by_id[server_id] = server
        elif not (self._is_full and revision <= self.update.revision):
            # What a full read of a later revision doesn't list has left anyway.
            self.update.removed[server_id] = revision

    def _set_routes(self, value: bytes, revision: int) -> None:
        try:
            self.update.routes, problems = decode_configuration(value)
        except EntryError as error:
            self.unusable.report(CONFIG_KEY, revision, str(error))
            return
        self.update.routes_revision = revision
        if problems:
            version = self.update.routes.version
            self.unusable.report_configuration(version, revision, problems)

    def _add_evacuation(self, key: str, revision: int, is_deleted: bool) -> None:
        try:
            zone = decode_evacuated_zone(key)
        except EntryError as error:
            if not is_deleted:
                self.unusable.report(key, revision, str(error))
            return
        self.update.zones.append(ZoneState(zone, not is_deleted, revision))

    def _decode_server(self, server_id: str, item: dict[str, Any]) -> Server | None:
        key, revision = item["key"], item["revision"]
        try:
            value = _decode_value(item["value"], MAXIMUM_ENTRY_BYTES)
            created = item.get("created_rev")
            if created is not None:
                check_revision(created)
            return decode_server(server_id, value, revision, created)
        except (ValueError, TypeError, EntryError) as error:
            self.unusable.report(key, revision, str(error))
            return None
