"""Baselines with a flow table per host, as in a stand-alone load balancer."""

from abc import abstractmethod
from random import Random

from hornbeamdeal.kernel import BackendServer, register_plugin

from ._round_robin import SmoothWeightedRoundRobin
from ._routes import Route
from ._stateless import ViewSteering

# Beyond this the oldest flows are removed. A flow takes about 150 bytes.
MAXIMUM_REMEMBERED_FLOWS = 1 << 16


class LocalFlowSteering(ViewSteering):
    """Stores the server of each flow that this host has forwarded."""

    __slots__ = ("servers_by_key_", "random_")

    def __init__(self, *, random_state: int = 0):
        super().__init__(random_state=random_state)
        self.servers_by_key_: dict[int, str] = {}
        self.random_ = Random(random_state)

    def _choose(self, key: int, route: Route) -> BackendServer | None:
        server = self._remembered_server(key, route.service)
        if server is not None:
            return server
        servers = route.server_set.servers
        if not servers:
            return None
        server = self._choose_new(servers, route.service)
        if len(self.servers_by_key_) >= MAXIMUM_REMEMBERED_FLOWS:
            self._forget(next(iter(self.servers_by_key_)))
        self.servers_by_key_[key] = server.server_id
        self._flow_added(server.server_id)
        return server

    def _remembered_server(self, key: int, service: str) -> BackendServer | None:
        server_id = self.servers_by_key_.get(key)
        if server_id is None:
            return None
        server = self.routes_.view.servers_by_id.get(server_id)
        if server is not None and server.service == service:
            return server
        self._forget(key)
        return None

    def _forget(self, key: int) -> None:
        self._flow_removed(self.servers_by_key_.pop(key))

    def _flow_added(self, server_id: str) -> None:
        """Record a new flow of a server."""

    def _flow_removed(self, server_id: str) -> None:
        """Record that a flow of a server was removed."""

    @abstractmethod
    def _choose_new(self, servers: list[BackendServer], service: str) -> BackendServer:
        """Choose the server of a new flow."""


@register_plugin("steering", "random")
class RandomSteering(LocalFlowSteering):
    """Chooses a random server for each flow, in proportion to the weights."""

    __slots__ = ()

    def _choose_new(self, servers: list[BackendServer], service: str) -> BackendServer:
        weights = [server.weight for server in servers]
        return self.random_.choices(servers, weights)[0]


@register_plugin("steering", "round_robin")
class RoundRobinSteering(LocalFlowSteering):
    """Chooses servers by weighted round robin for this host's flows."""

    __slots__ = ("round_robins_by_service_",)

    def __init__(self, *, random_state: int = 0):
        super().__init__(random_state=random_state)
        self.round_robins_by_service_: dict[str, SmoothWeightedRoundRobin] = {}

    def _choose_new(self, servers: list[BackendServer], service: str) -> BackendServer:
        round_robin = self.round_robins_by_service_.get(service)
        if round_robin is None:
            round_robin = SmoothWeightedRoundRobin(self.random_)
            self.round_robins_by_service_[service] = round_robin
        return round_robin.pick(servers)


@register_plugin("steering", "least_loaded")
class LeastLoadedSteering(LocalFlowSteering):
    """Chooses the server with the fewest flows of this host per unit of weight."""

    __slots__ = ("flows_by_server_",)

    def __init__(self, *, random_state: int = 0):
        super().__init__(random_state=random_state)
        self.flows_by_server_: dict[str, int] = {}

    def _flow_added(self, server_id: str) -> None:
        flows = self.flows_by_server_.get(server_id, 0)
        self.flows_by_server_[server_id] = flows + 1

    def _flow_removed(self, server_id: str) -> None:
        self.flows_by_server_[server_id] -= 1

    def _choose_new(self, servers: list[BackendServer], service: str) -> BackendServer:
        flows = self.flows_by_server_
        # Breaks ties at random, or else all hosts would load the first server.
        return min(
            servers,
            key=lambda s: (flows.get(s.server_id, 0) / s.weight, self.random_.random()),
        )
