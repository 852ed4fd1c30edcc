"""Helpers that send requests and answers to a `HostFleet` and read its replies."""

from hornbeamdeal.kernel import (
    DispatchOutcome,
    RequestReceived,
    ServerAnswer,
    ServerAnswerReceived,
)
from hornbeamdeal.requests._fake_fleet import make_request


def send(fleet, host, name, now, **fields):
    """Deliver a request to a host; return the host's actions."""
    return fleet.handle(host, RequestReceived(make_request(name, **fields)), now)


def answer(fleet, dispatch, now, outcome=DispatchOutcome.ANSWERED, payload=b""):
    """Answer a dispatch of host a as its server; return the host's actions."""
    event = ServerAnswerReceived(
        dispatch.server.server_id,
        dispatch.exchange_id,
        ServerAnswer(outcome, payload=payload),
    )
    return fleet.handle("a", event, now)


def replies(fleet):
    """Return the final answers by the name of their request."""
    return {r.token.decode(): a for r, a in fleet.replies}
