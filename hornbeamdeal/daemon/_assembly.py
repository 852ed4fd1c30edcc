"""Builds the components of an entry host from its settings."""

import secrets
import time
from hashlib import blake2b

from hornbeamdeal import admission  # noqa: F401  (registers its plug-ins)
from hornbeamdeal.dissemination import Dissemination
from hornbeamdeal.kernel import EntryHost, SystemClock, create_plugin
from hornbeamdeal.membership import Membership, generate_incarnation
from hornbeamdeal.observability import Metrics, configure_logging
from hornbeamdeal.requests import RequestDispatcher
from hornbeamdeal.settings import EntrySettings
from hornbeamdeal.steering import Steering
from hornbeamdeal.wire import PeerCodec

from ._active_configuration import ActiveConfiguration
from ._components import Components
from ._driver import EntryDriver
from ._pause_check import PauseCheck

TRACKED = "tracked"
KEY_BYTES = 32
RUN_TOKEN_PURPOSE = b"run token"
HANDLE_PURPOSE = b"flow handle"


def derive_keys(settings: EntrySettings, purpose: bytes) -> tuple[bytes, ...]:
    """Derive the keys shared by all hosts of the region, the sending key first."""
    key_ids = sorted(settings.peer_keys, key=lambda i: (i != settings.sending_key, i))
    return tuple(
        blake2b(purpose, key=settings.peer_keys[i][:64], digest_size=KEY_BYTES).digest()
        for i in key_ids
    )


def make_driver(settings: EntrySettings) -> EntryDriver:
    """Build an entry host's driver and components."""
    incarnation = generate_incarnation(time.time())
    random_state = secrets.randbits(32)
    configuration = ActiveConfiguration(own_id=settings.host_id, own_zone=settings.zone)
    return EntryDriver(
        settings=settings,
        clock=SystemClock(),
        components=make_components(settings, configuration, incarnation, random_state),
        configuration=configuration,
        codec=PeerCodec(
            host_id=settings.host_id,
            incarnation=incarnation,
            keys_by_id=settings.peer_keys,
            sending_key_id=settings.sending_key,
        ),
        metrics=Metrics(),
        logger=configure_logging(settings.log_level, settings.host_id),
    )


def make_components(
    settings: EntrySettings,
    configuration: ActiveConfiguration,
    incarnation: int,
    random_state: int,
) -> Components:
    """Build the components that decide on events."""
    return Components(
        membership=_make_membership(settings, incarnation, random_state),
        dissemination=Dissemination(
            own_id=settings.host_id,
            zone=settings.zone,
            check_document=configuration.check_document,
            check_hosts=configuration.check_host_list,
            random_state=random_state,
        ),
        pause_check=PauseCheck(random_state=random_state),
        steering=_make_steering(settings, random_state),
        dispatcher=_make_dispatcher(settings, incarnation, random_state),
    )


def _make_membership(
    settings: EntrySettings, incarnation: int, random_state: int
) -> Membership:
    own = EntryHost(
        settings.host_id, incarnation, settings.peer_advertise, settings.zone
    )
    return Membership(own=own, seeds=settings.seeds, random_state=random_state)


def _make_steering(settings: EntrySettings, random_state: int) -> Steering:
    parameters = {"random_state": random_state}
    if settings.steering == TRACKED:
        parameters["handle_keys"] = derive_keys(settings, HANDLE_PURPOSE)
    return create_plugin("steering", settings.steering, **parameters)


def _make_dispatcher(
    settings: EntrySettings, incarnation: int, random_state: int
) -> RequestDispatcher:
    keys = derive_keys(settings, RUN_TOKEN_PURPOSE)
    return create_plugin(
        "requests",
        settings.requests,
        admission=create_plugin(
            "admission", settings.admission, random_state=random_state
        ),
        host_id=settings.host_id,
        incarnation=incarnation,
        endpoint=settings.peer_advertise,
        token_key=keys[0],
        previous_token_key=keys[1] if len(keys) > 1 else None,
        random_state=random_state,
    )
