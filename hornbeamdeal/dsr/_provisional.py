"""Servers whose entries in a restored store are missing or outdated for a while."""

# Servers whose entries were lost register again within two seconds of the store's
# return; the third second covers propagation to all hosts.
REREGISTRATION_SECONDS = 3.0
# Default time after which the store drops the entry of a silent server.
ENTRY_LIFETIME_SECONDS = 3.6
# Time for the removal of a lapsed entry to reach all hosts.
PROPAGATION_SECONDS = 1.0


class ProvisionalServers:
    """Tracks servers whose state is uncertain since the store was restored.

    A server whose entry is missing from the copy is unconfirmed: it is used until it
    registers again or its time is over. A server that the copy lists as accepting,
    although it was known to leave or to be dead, is withheld from new flows until it
    registers again or an entry of a server that is gone would have lapsed. Both times
    end only once the store has been read that late.

    Parameters
    ----------
    entry_lifetime : float
        Seconds after which the store drops the entry of a silent server.
    """

    __slots__ = (
        "withheld_seconds",
        "_unconfirmed_since_by_id",
        "_withheld_since_by_id",
    )

    def __init__(self, *, entry_lifetime: float = ENTRY_LIFETIME_SECONDS):
        self.withheld_seconds = entry_lifetime + PROPAGATION_SECONDS
        self._unconfirmed_since_by_id: dict[str, float] = {}
        self._withheld_since_by_id: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether the state of all servers is certain."""
        return not self._unconfirmed_since_by_id and not self._withheld_since_by_id

    def clear(self) -> None:
        """Forget all servers, as another history of the store begins."""
        self._unconfirmed_since_by_id.clear()
        self._withheld_since_by_id.clear()

    def is_withheld(self, server_id: str) -> bool:
        """Return whether a server gets no new flows for now."""
        return server_id in self._withheld_since_by_id

    def withhold(
        self, server_id: str, now: float, remaining: float | None = None
    ) -> None:
        """Withhold a server from new flows, by default for the whole time."""
        seconds = self.withheld_seconds
        since = now if remaining is None else now - seconds + min(remaining, seconds)
        self._withheld_since_by_id.setdefault(server_id, since)

    def release(self, server_id: str) -> None:
        """End the withholding of a server that has registered again or left."""
        self._withheld_since_by_id.pop(server_id, None)

    def withheld_remaining(self, confirmed_at: float) -> dict[str, float]:
        """Return for how many more seconds each withheld server gets no new flows."""
        return {
            server_id: max(0.0, since + self.withheld_seconds - confirmed_at)
            for server_id, since in self._withheld_since_by_id.items()
        }

    def set_unconfirmed(self, server_ids: set[str], now: float) -> None:
        """Set the unconfirmed servers; the time of new ones begins now."""
        known = self._unconfirmed_since_by_id
        self._unconfirmed_since_by_id = {i: known.get(i, now) for i in server_ids}

    def unconfirmed_since(self, server_id: str) -> float:
        """Return since when a server is unconfirmed."""
        return self._unconfirmed_since_by_id[server_id]

    def lapsed_ids(self, confirmed_at: float) -> list[str]:
        """Return the unconfirmed servers that are to be taken as gone."""
        return _due(self._unconfirmed_since_by_id, REREGISTRATION_SECONDS, confirmed_at)

    def releasable_ids(self, confirmed_at: float) -> list[str]:
        """Return the withheld servers whose entries have outlived their time."""
        return _due(self._withheld_since_by_id, self.withheld_seconds, confirmed_at)


def _due(since_by_id: dict[str, float], seconds: float, confirmed_at: float) -> list:
    return [i for i, since in since_by_id.items() if confirmed_at - since >= seconds]
