"""Choice of the unreachable servers that get no new flows."""

from collections.abc import Sequence

from hornbeamdeal.kernel import BackendServer

# The detection may be wrong, and the other servers have to take over this share.
MAXIMUM_EXCLUDED_SHARE = 0.5


def excluded_ids(
    servers: Sequence[BackendServer], unreachable_ids: Sequence[str], own_zone: str
) -> frozenset[str]:
    """Return the servers to exclude from new flows.

    Servers are excluded in the order of `unreachable_ids`: at most half of the
    servers by weight, and none if all are unreachable. If all servers of other
    zones are unreachable and some server of the own zone is not, the zone is
    considered partitioned from the others: then all servers of other zones are
    excluded, and the bound applies to the own zone's servers only. This is safe
    because one datagram from any excluded server ends its exclusion, and because
    answers from the own zone show that this host's sockets work.
    """
    unreachable = set(unreachable_ids)
    if all(server.server_id in unreachable for server in servers):
        return frozenset()
    local = [server for server in servers if server.zone == own_zone]
    remote = {server.server_id for server in servers if server.zone != own_zone}
    has_reachable_local = any(server.server_id not in unreachable for server in local)
    if has_reachable_local and remote and remote <= unreachable:
        return frozenset(remote | _exclude_bounded(local, unreachable_ids))
    return frozenset(_exclude_bounded(servers, unreachable_ids))


def _exclude_bounded(
    servers: Sequence[BackendServer], unreachable_ids: Sequence[str]
) -> set[str]:
    weights_by_id = {server.server_id: server.weight for server in servers}
    allowed_weight = MAXIMUM_EXCLUDED_SHARE * sum(weights_by_id.values())
    excluded = set()
    for server_id in unreachable_ids:
        weight = weights_by_id.get(server_id)
        if weight is not None and weight <= allowed_weight:
            excluded.add(server_id)
            allowed_weight -= weight
    return excluded
