"""Selects the servers that may get a new flow."""

from ._catalog import Catalog
from ._records import Route, Server
from ._server_health import ServerHealth
from ._slow_start import SlowStart

# Reason of a refusal where a route has no server at all for new flows.
NO_SERVER = "no_server"


class Eligibility:
    """Filters a route's servers by catalog, slow start and health.

    Draining and withheld servers and those of evacuated zones are not accepting; cold
    servers are left out unless this host may open a flow to them. Servers that are out
    of rotation are used only if no others are left.

    Parameters
    ----------
    catalog : Catalog
        Routes and servers in force.
    server_health : ServerHealth
        Health of the servers.
    slow_start : SlowStart
        Bounds new flows to cold servers.
    """

    __slots__ = ("catalog", "server_health", "slow_start")

    def __init__(
        self, *, catalog: Catalog, server_health: ServerHealth, slow_start: SlowStart
    ):
        self.catalog = catalog
        self.server_health = server_health
        self.slow_start = slow_start

    def permitted_servers(self, service: str, now: float) -> list[Server]:
        """Return the servers of a service to which a flow may be opened now."""
        accepting = self.catalog.accepting_servers(service)
        return self.slow_start.permitted(service, accepting, now)

    def may_resend(self, server: Server, now: float) -> bool:
        """Return whether an accepting server may get another copy of an opening packet."""
        return self.slow_start.permits(server, now)

    def without_spent(
        self, permitted: list[Server], trial_server: Server | None, now: float
    ) -> list[Server]:
        """Return the servers that still have room after a trial."""
        if trial_server is None or self.slow_start.permits(trial_server, now):
            return permitted
        return [server for server in permitted if server is not trial_server]

    def servers_by_service(self, route: Route, now: float) -> dict[str, list[Server]]:
        """Return the permitted servers of the route's services that have any.

        A service without servers leaves its share to the others, since the route
        allows each of them.
        """
        permitted = {
            service: self.permitted_servers(service, now)
            for service, weight in route.weights_by_service.items()
            if weight
        }
        return {service: servers for service, servers in permitted.items() if servers}

    def prefer(
        self, permitted: list[Server], tried: list[Server], now: float
    ) -> list[Server]:
        """Return the candidates for placement, of which there is at least one."""
        untried = [server for server in permitted if server not in tried]
        usable = [s for s in untried if not self.server_health.is_out(s.server_id)]
        usable = self.slow_start.without_warming(usable, now) or usable
        return usable or untried or permitted

    def missing_reason(self, route: Route) -> str:
        """Return why no server of a route gets new flows."""
        services = [s for s, weight in route.weights_by_service.items() if weight]
        if any(self.catalog.accepting_servers(service) for service in services):
            return "cold_servers"
        if any(self.catalog.has_evacuated_servers(service) for service in services):
            return "zone_evacuated"
        return NO_SERVER
