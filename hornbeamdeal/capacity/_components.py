"""Creates components of an entry host for the measurements."""

from typing import Any

from hornbeamdeal import admission, steering  # noqa: F401  (registers plug-ins)
from hornbeamdeal.kernel import ClusterView, create_plugin
from hornbeamdeal.requests import RequestDispatcher
from hornbeamdeal.wire import PeerCodec

from ._samples import OWN_HOST_ID, host_endpoint

SHARED_KEY = b"a key for the slope measurements"
INCARNATION = 1 << 61


def make_steering(view: ClusterView | None, **parameters: Any) -> Any:
    """Create the default steering, on a host that joined a minute ago."""
    component = create_plugin(
        "steering", "tracked", handle_keys=(SHARED_KEY,), **parameters
    )
    if view is not None:
        component.update(view, 0.0)
        component.tick(60.0)
    return component


def make_dispatcher(view: ClusterView | None) -> RequestDispatcher:
    """Create a request dispatcher with the default admission."""
    dispatcher = RequestDispatcher(
        admission=create_plugin("admission", "slot_shares", random_state=1),
        host_id=OWN_HOST_ID,
        incarnation=INCARNATION,
        endpoint=host_endpoint(0),
        token_key=SHARED_KEY,
    )
    if view is not None:
        dispatcher.update(view, 60.0)
    return dispatcher


def make_codec(host_id: str = OWN_HOST_ID, incarnation: int = INCARNATION) -> PeerCodec:
    """Create a codec of peer messages; incarnations have 62 bits."""
    return PeerCodec(
        host_id=host_id,
        incarnation=incarnation,
        keys_by_id={1: SHARED_KEY},
        sending_key_id=1,
    )
