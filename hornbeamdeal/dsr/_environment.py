"""Tells messages of hosts of the own environment from those of others.

Environments, such as trial and production, have a store and hosts each. A seed that
is out of date or an address that was assigned again can lead from one to the other.
"""

from collections.abc import Sequence

# Hosts learn of a changed name at different times, when their settings are reloaded or
# when they start, all of them within this time.
RENAME_SECONDS = 600.0
# Names that a host tells and remembers at most; a name changes seldom.
MAXIMUM_NAMES = 8


class EnvironmentCheck:
    """Recognizes hosts by the names of their environments.

    By default an environment is named by its store's address, which can change. A host
    therefore tells its former names too, for a while, and remembers the other names
    of hosts that it has recognized by a name of their own or by its own.

    Parameters
    ----------
    name : str
        Present name of this host's environment.
    """

    __slots__ = ("name", "_former_until_by_name", "_peer_until_by_name")

    def __init__(self, name: str):
        self.name = name
        self._former_until_by_name: dict[str, float] = {}
        self._peer_until_by_name: dict[str, float] = {}

    def rename(self, name: str, now: float) -> None:
        """Use another name from now on."""
        if name == self.name:
            return
        self._former_until_by_name[self.name] = now + RENAME_SECONDS
        self._former_until_by_name.pop(name, None)
        self.name = name

    def names(self, now: float) -> list[str]:
        """Return the names to tell peers: the present one, then the former ones."""
        former = _unexpired(self._former_until_by_name, now)
        return [self.name, *reversed(former)][:MAXIMUM_NAMES]

    def recognizes(self, names: Sequence[str] | None, now: float) -> bool:
        """Return whether a message that tells these names is of the own environment.

        Hosts of an older build tell none and are recognized.
        """
        if not names:
            return True
        names = names[:MAXIMUM_NAMES]
        if self.name in names or names[0] in self.names(now):
            self._remember(names, now)
            return True
        return names[0] in _unexpired(self._peer_until_by_name, now)

    def _remember(self, names: Sequence[str], now: float) -> None:
        known = self.names(now)
        for name in names:
            if name not in known:
                self._peer_until_by_name[name] = now + RENAME_SECONDS
        while len(self._peer_until_by_name) > MAXIMUM_NAMES:
            self._peer_until_by_name.pop(next(iter(self._peer_until_by_name)))


def _unexpired(until_by_name: dict[str, float], now: float) -> list[str]:
    return [name for name, until in until_by_name.items() if now < until]
