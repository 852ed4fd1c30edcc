"""Records of the catalog: servers, routes and updates to both."""

import copy

import xxhash

NO_HANDLE = 0
# Revision of a server that has no entry in the store's present history.
NO_REVISION = 0


def handle_of(server_id: str, choice: int = 0) -> int:
    """Return a 32-bit handle that a server may have, the same on every host.

    Choice 0 is the one that a server has unless another one has it.
    """
    return xxhash.xxh32_intdigest(server_id.encode(), choice) or 1


class Server:
    """A backend server that answers callers directly.

    `number` identifies the server in the encapsulation, so that another server that
    took over its address drops the packet. `revision` is the store's revision of
    the entry's last change, `created_revision` that of its registration, by default the
    same. `handle` is its first choice of a handle. `cold_seconds` is for how much longer the server was slow
    after its start when it wrote the entry.
    """

    __slots__ = (
        "address",
        "cold_seconds",
        "created_revision",
        "handle",
        "is_draining",
        "number",
        "revision",
        "server_id",
        "service",
        "slots",
        "zone",
    )

    def __init__(
        self,
        *,
        server_id: str,
        number: bytes,
        service: str,
        address: tuple[str, int],
        zone: str,
        slots: int,
        is_draining: bool,
        revision: int = 0,
        created_revision: int | None = None,
        cold_seconds: float = 0.0,
    ):
        self.cold_seconds = cold_seconds
        self.created_revision = (
            revision if created_revision is None else created_revision
        )
        self.server_id = server_id
        self.number = number
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.is_draining = is_draining
        self.revision = revision
        self.handle = handle_of(server_id)

    def with_revision(self, revision: int) -> "Server":
        """Return a copy with another revision."""
        copied = copy.copy(self)
        copied.revision = revision
        return copied

    def is_same(self, other: "Server") -> bool:
        """Return whether both are equal in all fields."""
        return all(getattr(self, n) == getattr(other, n) for n in self.__slots__)


class Route:
    """Weighted services for new flows to one service address, and callers' needs.

    `kind` is one of "safe", "unsafe", "upload", "download" or empty if not told.
    Callers want an answer within `aim_seconds` and give up after `timeout_seconds`, 0 if
    not told. A `priority` of 0 is the highest.
    """

    __slots__ = (
        "address_key",
        "aim_seconds",
        "kind",
        "name",
        "priority",
        "timeout_seconds",
        "weights_by_service",
    )

    def __init__(
        self,
        *,
        address_key: bytes,
        name: str,
        weights_by_service: dict[str, float],
        kind: str = "",
        priority: int = 0,
        aim_seconds: float = 0.0,
        timeout_seconds: float = 0.0,
    ):
        self.address_key = address_key
        self.name = name
        self.weights_by_service = weights_by_service
        self.kind = kind
        self.priority = priority
        self.aim_seconds = aim_seconds
        self.timeout_seconds = timeout_seconds

    def is_same(self, other: "Route") -> bool:
        """Return whether both are equal in all fields."""
        return all(getattr(self, n) == getattr(other, n) for n in self.__slots__)


class Service:
    """Properties of a service that all its servers share.

    A server is cold for `cold_start_seconds` after its start and then bears
    `cold_requests_per_second`.
    """

    __slots__ = ("cold_requests_per_second", "cold_start_seconds", "name")

    def __init__(
        self,
        *,
        name: str,
        cold_start_seconds: float = 0.0,
        cold_requests_per_second: float = 0.0,
    ):
        self.name = name
        self.cold_start_seconds = cold_start_seconds
        self.cold_requests_per_second = cold_requests_per_second


class ZoneState:
    """Whether a zone is evacuated, by the store's revision that says so.

    `remaining_seconds` is how much longer an unconfirmed evacuation, one of
    `NO_REVISION`, is in force.
    """

    __slots__ = ("is_evacuated", "remaining_seconds", "revision", "zone")

    def __init__(
        self,
        zone: str,
        is_evacuated: bool,
        revision: int,
        remaining_seconds: float = 0.0,
    ):
        self.zone = zone
        self.is_evacuated = is_evacuated
        self.revision = revision
        self.remaining_seconds = remaining_seconds


class RouteTable:
    """All routes of one accepted configuration.

    `idle_timeout` is in seconds; the record of a flow idle for longer is dropped.
    """

    __slots__ = ("idle_timeout", "routes_by_key", "services_by_name", "version")

    def __init__(
        self,
        *,
        version: int,
        routes_by_key: dict[bytes, Route],
        idle_timeout: float,
        services_by_name: dict[str, Service] | None = None,
    ):
        self.version = version
        self.routes_by_key = routes_by_key
        self.idle_timeout = idle_timeout
        self.services_by_name = services_by_name or {}


class Update:
    """Changes of the catalog up to a revision of the store.

    `epoch` identifies the store's history: it rises when the store is restored from
    an older copy, and revisions of different epochs are not comparable. It is 0 if
    the store doesn't report it. `base_revision` of `base_epoch`, by default the same
    epoch, is the revision that the changes apply to, None for a full copy, where a
    server that is not listed is removed. `removed` holds the revision of each removal
    by server id. `withheld` holds for how many more seconds listed servers get no new
    flows. `routes` is None if the configuration is unchanged, and `routes_revision` is
    the store's revision of it, if known. `needs_exact_base` is set for a consistent
    full read of the store and the changes that a reader found by one: a server that a
    later base lists may have left without being in `removed`, and what it lists is
    there, even if a copy of a later revision than the listing's lacked it. `zones` holds changed states of zones; in a full copy, and in the changes from one
    epoch to the next, all evacuated ones.

    Pages of a full read are no snapshot: entries may be newer than `revision`, up to
    `newest_revision`, by default the same. `fingerprint` is that of the sender's
    entries at `revision`, None if the sender has newer ones or doesn't tell it.
    `version` is that of the configuration that the sender has in force, 0 if not told.
    """

    __slots__ = (
        "base_epoch",
        "base_revision",
        "epoch",
        "fingerprint",
        "needs_exact_base",
        "newest_revision",
        "removed",
        "revision",
        "routes",
        "routes_revision",
        "servers",
        "version",
        "withheld",
        "zones",
    )

    def __init__(
        self,
        *,
        base_revision: int | None,
        revision: int,
        epoch: int = 0,
        base_epoch: int | None = None,
        servers: list[Server] = (),
        removed: dict[str, int] | None = None,
        routes: RouteTable | None = None,
        withheld: dict[str, float] | None = None,
        needs_exact_base: bool = False,
        zones: list[ZoneState] = (),
        newest_revision: int | None = None,
        fingerprint: int | None = None,
        version: int = 0,
        routes_revision: int = NO_REVISION,
    ):
        self.base_epoch = epoch if base_epoch is None else base_epoch
        self.base_revision = base_revision
        self.epoch = epoch
        self.revision = revision
        self.servers = servers
        self.removed = removed or {}
        self.routes = routes
        self.withheld = withheld or {}
        self.needs_exact_base = needs_exact_base
        self.zones = zones
        self.newest_revision = revision if newest_revision is None else newest_revision
        self.fingerprint = fingerprint
        self.version = version
        self.routes_revision = routes_revision

    @property
    def is_empty(self) -> bool:
        """Return whether the update changes nothing but the revision."""
        return self.entry_count == 0

    @property
    def entry_count(self) -> int:
        """Return the number of entries that are listed or removed."""
        states = len(self.servers) + len(self.removed) + len(self.zones)
        return states + (self.routes is not None)
