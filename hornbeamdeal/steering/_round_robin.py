"""Smooth weighted round robin, as published for nginx 1.3.1 (2012)."""

from collections.abc import Sequence
from random import Random

from hornbeamdeal.kernel import BackendServer


class SmoothWeightedRoundRobin:
    """Hands out servers in proportion to their weights, evenly spaced.

    Each host starts at a random point of the cycle; if all started at the same
    server, their remainders would add up on it.
    """

    __slots__ = ("_credits_by_id", "_random")

    def __init__(self, random: Random):
        self._random = random
        self._credits_by_id: dict[str, float] = {}

    def pick(self, servers: Sequence[BackendServer]) -> BackendServer | None:
        """Return the next of the servers, None where there is none."""
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
