"""Requests and flows as their callers see them."""

from .uneven_hosts import Host


class Request:
    """One request; `outcome` is empty until it ends, which it does exactly once."""

    __slots__ = (
        "asked_at", "attempts", "caller", "ended_at", "kind", "outcome", "runs", "work",
    )  # fmt: skip

    def __init__(self, caller: int, kind, now: float, work: float):
        self.caller, self.kind, self.asked_at, self.work = caller, kind, now, work
        self.attempts, self.runs, self.outcome, self.ended_at = 0, 0, "", now


class CallerFlow:
    """A flow at its caller, with its current request.

    `server` is set once a server has accepted it, `delivered` is the latest request
    that the server got.
    """

    __slots__ = (
        "acknowledgement", "delivered", "host", "is_over", "is_refused", "key",
        "remaining", "request", "sequence", "server",
    )  # fmt: skip

    def __init__(self, key: bytes, host: Host, request: Request):
        self.key, self.host, self.request = key, host, request
        self.remaining = request.kind.requests_per_flow
        self.server, self.is_over, self.is_refused = None, False, False
        self.delivered: Request | None = None
        self.sequence, self.acknowledgement = 1, 1
