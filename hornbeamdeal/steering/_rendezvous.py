"""Weighted rendezvous hashing over a fixed set of servers.

Logarithm method: "A name-based mapping scheme for rendezvous" (Thaler and
Ravishankar, 1996), weighted as in "Weighted distributed hash tables"
(Schindelhauer and Schomaker, 2005).
"""

from collections.abc import Iterable
from math import log

import xxhash

from hornbeamdeal.kernel import BackendServer, ServerState

from ._keys import KEY_BYTES, digest_of

# A float holds the upper 53 bits of a hash exactly. The added 0.5 keeps the
# argument of the logarithm strictly between 0 and 1.
_FLOAT_SHIFT = 11
_FLOAT_SCALE = 2.0**-53


def takes_new_flows(server: BackendServer) -> bool:
    """Return whether the server may get new flows."""
    return server.state is ServerState.ACTIVE and server.weight > 0


class ServerSet:
    """The servers of a service that accept new flows, with their weights."""

    __slots__ = ("servers", "weights_by_id", "_weighted_seeds")

    def __init__(self, servers: Iterable[BackendServer]):
        self.servers = [server for server in servers if takes_new_flows(server)]
        self.weights_by_id = {s.server_id: s.weight for s in self.servers}
        self._weighted_seeds = [(digest_of(s), s.weight, s) for s in self.servers]

    def choose(self, key: int) -> BackendServer | None:
        """Return the server with the highest score for the key, None if none."""
        key_bytes = key.to_bytes(KEY_BYTES, "little")
        best, best_cost = None, 0.0
        for seed, weight, server in self._weighted_seeds:
            bits = xxhash.xxh3_64_intdigest(key_bytes, seed) >> _FLOAT_SHIFT
            cost = -log((bits + 0.5) * _FLOAT_SCALE) / weight
            if best is None or cost < best_cost:
                best, best_cost = server, cost
        return best

    def choose_id(self, key: int) -> str | None:
        """Return the identifier of the chosen server, None if there is none."""
        server = self.choose(key)
        return server.server_id if server else None
