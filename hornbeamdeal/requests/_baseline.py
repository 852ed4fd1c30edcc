"""Baseline for benchmarks: detect duplicates by the host's local state only."""

from typing import Any

import xxhash

from hornbeamdeal.kernel import Answer, Request, register_plugin

from ._answers import reply
from ._base import Reason
from ._dispatcher import RequestDispatcher
from ._routing import Route
from ._token import RunToken

COUNTER_MASK = 2**48 - 1


@register_plugin("requests", "own_memory")
class OwnMemoryDispatcher(RequestDispatcher):
    """Runs non-idempotent requests without run tokens.

    A host recognises a duplicate of a request that it ran by caller, address
    and message identifier. Another host, or the same host after a restart, runs
    the duplicate again.
    """

    def _require_token(
        self, request: Request, route: Route, refusal: Reason | None, now: float
    ) -> list[Any]:
        record = self.token_manager_.claim(
            self._own_token(request, now), request, refusal, now
        )
        if isinstance(record, Answer):
            return reply(request, record, route.service)
        if record.exchange is not None:
            return self.runner_.join(record.exchange, request)
        return self.runner_.start(request, route, record, now)

    def _own_token(self, request: Request, now: float) -> RunToken:
        """Return a token that identifies a caller's message on this host."""
        key = f"{request.caller} {request.address} {request.message_id}"
        counter = xxhash.xxh3_64_intdigest(key.encode()) & COUNTER_MASK
        expiry = int(now + self.limits_.token_lifetime) + 1
        return RunToken(self.incarnation, self.endpoint, counter, expiry)
