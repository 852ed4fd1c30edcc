"""Builds the components of an entry host from its settings."""

import secrets
from hashlib import blake2b

from hornbeamdeal import admission, steering  # noqa: F401  (registers plug-ins)
from hornbeamdeal.dissemination import Dissemination
from hornbeamdeal.kernel import EntryHost, SystemClock, create
from hornbeamdeal.membership import Membership
from hornbeamdeal.observability import Metrics, configure_logs
from hornbeamdeal.requests import RequestDispatcher
from hornbeamdeal.settings import EntrySettings
from hornbeamdeal.wire import PeerCodec

from ._driver import Components, EntryDriver
from ._world import World

INCARNATION_BITS = 62
KEY_BYTES = 32
RUN_TOKEN_PURPOSE = b"run token"
HANDLE_PURPOSE = b"flow handle"


def derive_key(settings: EntrySettings, purpose: bytes) -> bytes:
    """Derive a key that all hosts of the region share from the sending key."""
    key = settings.peer_keys[settings.sending_key]
    return blake2b(purpose, key=key[:64], digest_size=KEY_BYTES).digest()


def make_driver(settings: EntrySettings) -> EntryDriver:
    """Build an entry host's driver with all its components."""
    incarnation = secrets.randbits(INCARNATION_BITS)
    random_state = secrets.randbits(32)
    return EntryDriver(
        settings=settings,
        clock=SystemClock(),
        components=make_components(settings, incarnation, random_state),
        world=World(own_id=settings.host_id, own_zone=settings.zone),
        codec=PeerCodec(
            host_id=settings.host_id,
            incarnation=incarnation,
            keys_by_id=settings.peer_keys,
            sending_key_id=settings.sending_key,
        ),
        metrics=Metrics(),
        logger=configure_logs(settings.log_level, settings.host_id),
    )


def make_components(
    settings: EntrySettings, incarnation: int, random_state: int
) -> Components:
    """Build the decision components."""
    own = EntryHost(settings.host_id, incarnation, settings.peer_listen, settings.zone)
    return Components(
        membership=Membership(own=own, seeds=settings.seeds, random_state=random_state),
        dissemination=Dissemination(
            own_id=settings.host_id,
            own_zone=settings.zone,
            random_state=random_state,
        ),
        steering=create(
            "steering",
            settings.steering,
            handle_key=derive_key(settings, HANDLE_PURPOSE),
            random_state=random_state,
        ),
        dispatcher=RequestDispatcher(
            admission=create(
                "admission", settings.admission, random_state=random_state
            ),
            own_id=settings.host_id,
            incarnation=incarnation,
            own_endpoint=settings.peer_listen,
            token_key=derive_key(settings, RUN_TOKEN_PURPOSE),
            random_state=random_state,
        ),
    )
