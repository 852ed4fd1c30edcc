"""What tests tell and read of the dispatchers of a `HostFleet`."""

from hornbeamdeal.kernel import Outcome, RequestReceived, ServerAnswer, ServerAnswered
from hornbeamdeal.requests._fake_fleet import make_request


def send(fleet, host, name, now, **fields):
    """Send a request to a host; return its actions."""
    return fleet.handle(host, RequestReceived(make_request(name, **fields)), now)


def answer(fleet, dispatch, now, outcome=Outcome.ANSWERED, payload=b""):
    """Answer a dispatch of host a; return its actions."""
    event = ServerAnswered(
        dispatch.server.server_id,
        dispatch.exchange_id,
        ServerAnswer(outcome, payload=payload),
    )
    return fleet.handle("a", event, now)


def replies(fleet):
    """Return the answers by the name of the request."""
    return {r.token.decode(): a for r, a in fleet.replies}
