"""Converts catalog updates to and from `CatalogNews` messages."""

from typing import Any

from hornbeamdeal.kernel import HornbeamdealError, check_unicast_endpoint
from hornbeamdeal.wire import peer_types

from ._field_checks import (
    MAXIMUM_MILLISECONDS,
    MAXIMUM_SLOTS,
    SERVER_NUMBER_BYTES,
    check_integer,
    check_number,
    check_text,
    check_weights,
)
from ._records import Route, RouteTable, Server, Service, Update, ZoneState

FULL_COPY = -1
NO_POSITION = -1
ALL_ROUTES = 0
# Revisions, versions and epochs have 64 bits in messages.
MAXIMUM_REVISION = 2**63 - 1
MAXIMUM_PRIORITY = 2**31 - 1


class MalformedUpdateError(HornbeamdealError):
    """Raised when fields of a peer's update are missing or out of range."""

    __slots__ = ()


def encode_news(
    update: Update,
    *,
    age: float,
    position: int | None,
    previous_routes: RouteTable | None,
) -> peer_types.CatalogNews:
    """Return the message for an update, with routes as a diff to the previous ones.

    `age` is the catalog's in seconds; `position` is the sender's in the reading
    order, None if it has none.
    """
    return peer_types.CatalogNews(
        base_revision=(
            FULL_COPY if update.base_revision is None else update.base_revision
        ),
        revision=update.revision,
        age_ms=max(0, round(1000 * age)),
        position=NO_POSITION if position is None else position,
        servers=[_encode_server(server) for server in update.servers],
        removed=update.removed,
        routes=update.routes and _encode_routes(update.routes, previous_routes),
        epoch=update.epoch,
        base_epoch=update.base_epoch,
        withheld_ms={i: round(1000 * s) for i, s in update.withheld.items()},
        needs_exact_base=update.needs_exact_base,
        zones=[_encode_zone(state) for state in update.zones],
        newest_revision=update.newest_revision,
        fingerprint=update.fingerprint,
        version=update.version,
    )


def decode_news(
    message: Any, known_routes: RouteTable | None, known_epoch: int
) -> Update | None:
    """Return the update, or None if its routes are a diff to a version not known.

    A message of an older build may lack an epoch, and counts as one of `known_epoch`. It
    may lack a fingerprint and a version, which are not compared then. It may list a
    server that no flow can be opened to, which counts as removed.

    Raise MalformedUpdateError if anything else is missing or out of range.
    """
    try:
        return _decode_update(message, known_routes, known_epoch)
    except (AttributeError, TypeError, ValueError) as error:
        text = f"update of a peer: {error!r}; run the same version on all hosts"
        raise MalformedUpdateError(text) from error


def _decode_update(
    message: Any, known_routes: RouteTable | None, known_epoch: int
) -> Update | None:
    check_integer(message.age_ms, MAXIMUM_MILLISECONDS)
    check_integer(message.position - NO_POSITION, MAXIMUM_REVISION)
    routes = None
    if message.routes is not None:
        routes = _decode_routes(message.routes, known_routes)
        if routes is None:
            return None
    epoch = known_epoch if message.epoch is None else message.epoch
    withheld_ms = message.withheld_ms or {}
    is_full = message.base_revision == FULL_COPY
    usable, unusable = [], []
    for server in message.servers or ():
        (usable if _is_usable(server) else unusable).append(server)
    removed = (message.removed or {}) | _removals_of(unusable)
    newest_revision = message.newest_revision
    if newest_revision is None:
        newest_revision = message.revision
    return Update(
        base_revision=(
            None if is_full else check_integer(message.base_revision, MAXIMUM_REVISION)
        ),
        base_epoch=message.base_epoch,
        epoch=check_integer(epoch, MAXIMUM_REVISION),
        revision=check_integer(message.revision, MAXIMUM_REVISION),
        servers=[_decode_server(server) for server in usable],
        removed={i: check_integer(r, MAXIMUM_REVISION) for i, r in removed.items()},
        routes=routes,
        withheld={i: check_number(ms) / 1000 for i, ms in withheld_ms.items()},
        needs_exact_base=bool(message.needs_exact_base),
        zones=[_decode_zone(state) for state in message.zones or ()],
        newest_revision=check_integer(newest_revision, MAXIMUM_REVISION),
        fingerprint=message.fingerprint,
        version=check_integer(message.version or 0, MAXIMUM_REVISION),
    )


def _removals_of(unusable: list[Any]) -> dict[str, int]:
    """Return the revisions of unusable servers that can be told from each other."""
    return {
        server.server_id: server.revision
        for server in unusable
        if server.server_id and (server.revision or 0) > 0
    }


def _encode_zone(state: ZoneState) -> peer_types.ZoneState:
    return peer_types.ZoneState(
        zone=state.zone,
        is_evacuated=state.is_evacuated,
        revision=state.revision,
        remaining_ms=round(1000 * state.remaining_seconds),
    )


def _decode_zone(message: Any) -> ZoneState:
    return ZoneState(
        check_text(message.zone),
        bool(message.is_evacuated),
        check_integer(message.revision, MAXIMUM_REVISION),
        check_number(message.remaining_ms or 0) / 1000,
    )


def _encode_server(server: Server) -> peer_types.DirectServer:
    return peer_types.DirectServer(
        server_id=server.server_id,
        number=server.number,
        service_name=server.service,
        ip=server.address[0],
        port=server.address[1],
        zone=server.zone,
        slots=server.slots,
        is_draining=server.is_draining,
        revision=server.revision,
        created_revision=server.created_revision,
        cold_ms=round(1000 * server.cold_seconds),
    )


def _is_usable(message: Any) -> bool:
    """Return whether a flow can be opened to a server that a peer lists."""
    try:
        check_unicast_endpoint(message.ip, message.port)
        for text in (message.server_id, message.service_name, message.zone):
            check_text(text)
        check_integer(message.slots, MAXIMUM_SLOTS)
        check_integer(message.revision, MAXIMUM_REVISION)
        check_integer(message.created_revision or 0, MAXIMUM_REVISION)
        check_integer(message.cold_ms or 0, MAXIMUM_MILLISECONDS)
    except (TypeError, ValueError):
        return False
    has_number = message.number is not None
    is_number_whole = has_number and len(message.number) == SERVER_NUMBER_BYTES
    return is_number_whole and message.is_draining is not None


def _decode_server(message: Any) -> Server:
    return Server(
        server_id=message.server_id,
        number=message.number,
        service=message.service_name,
        address=(message.ip, message.port),
        zone=message.zone,
        slots=message.slots,
        is_draining=message.is_draining,
        revision=message.revision,
        created_revision=message.created_revision,
        cold_seconds=(message.cold_ms or 0) / 1000,
    )


def _encode_routes(
    routes: RouteTable, previous: RouteTable | None
) -> peer_types.DirectRoutes:
    known = previous.routes_by_key if previous else {}
    changed = [
        _encode_route(route)
        for key, route in routes.routes_by_key.items()
        if key not in known or not known[key].is_same(route)
    ]
    return peer_types.DirectRoutes(
        version=routes.version,
        base_version=previous.version if previous else ALL_ROUTES,
        routes=changed,
        removed_keys=[key for key in known if key not in routes.routes_by_key],
        idle_timeout_ms=round(1000 * routes.idle_timeout),
        services=[
            peer_types.DirectService(
                name=service.name,
                cold_start_ms=round(1000 * service.cold_start_seconds),
                cold_per_s=service.cold_requests_per_second,
            )
            for service in routes.services_by_name.values()
        ],
    )


def _encode_route(route: Route) -> peer_types.DirectRoute:
    return peer_types.DirectRoute(
        address_key=route.address_key,
        name=route.name,
        weights_by_service=route.weights_by_service,
        kind=route.kind,
        priority=route.priority,
        aim_ms=round(1000 * route.aim_seconds),
        timeout_ms=round(1000 * route.timeout_seconds),
    )


def _decode_service(message: Any) -> Service:
    return Service(
        name=check_text(message.name),
        cold_start_seconds=check_number(message.cold_start_ms) / 1000,
        cold_requests_per_second=check_number(message.cold_per_s),
    )


def _decode_routes(message: Any, known: RouteTable | None) -> RouteTable | None:
    routes_by_key: dict[bytes, Route] = {}
    if message.base_version != ALL_ROUTES:
        if known is not None and known.version >= message.version:
            return known
        if known is None or known.version != message.base_version:
            return None
        routes_by_key.update(known.routes_by_key)
    for key in message.removed_keys or ():
        routes_by_key.pop(key, None)
    for route in message.routes or ():
        if not route.address_key:
            raise ValueError("a route without an address")
        milliseconds = [route.aim_ms or 0, route.timeout_ms or 0]
        aim, timeout = (check_integer(v, MAXIMUM_MILLISECONDS) for v in milliseconds)
        routes_by_key[route.address_key] = Route(
            address_key=route.address_key,
            name=check_text(route.name),
            weights_by_service=check_weights(dict(route.weights_by_service)),
            kind=route.kind or "",
            priority=check_integer(route.priority or 0, MAXIMUM_PRIORITY),
            aim_seconds=aim / 1000,
            timeout_seconds=timeout / 1000,
        )
    return RouteTable(
        version=check_integer(message.version, MAXIMUM_REVISION),
        routes_by_key=routes_by_key,
        idle_timeout=check_integer(message.idle_timeout_ms, MAXIMUM_MILLISECONDS)
        / 1000,
        services_by_name={s.name: _decode_service(s) for s in message.services or ()},
    )
