"""Smooth weighted round robin, as in nginx 1.3.1 (2012)."""

from collections.abc import Sequence
from random import Random

from hornbeamdeal.kernel import BackendServer


class SmoothWeightedRoundRobin:
    """Selects servers in proportion to their weights, evenly interleaved.

    Each host starts at a random point of the cycle. If all hosts started at the
    same server, it would get the remainder of every host.
    """

    __slots__ = ("_credits_by_id", "_random")

    def __init__(self, random: Random):
        self._random = random
        self._credits_by_id: dict[str, float] = {}

    def pick(self, servers: Sequence[BackendServer]) -> BackendServer | None:
        """Return the next server, None if there are no servers."""
        credits_by_id = self._credits_by_id
        if len(credits_by_id) != len(servers):
            self._forget_missing(servers)
        best, best_credit, total = None, 0.0, 0.0
        for server in servers:
            weight = server.weight
            credit = credits_by_id.get(server.server_id)
            if credit is None:
                credit = self._random.random() * weight
            credit += weight
            credits_by_id[server.server_id] = credit
            total += weight
            if best is None or credit > best_credit:
                best, best_credit = server, credit
        if best is not None:
            credits_by_id[best.server_id] -= total
        return best

    def _forget_missing(self, servers: Sequence[BackendServer]) -> None:
        known = {server.server_id for server in servers}
        for server_id in self._credits_by_id.keys() - known:
            del self._credits_by_id[server_id]
