"""Explains to operators how a host would handle an opening packet."""

from typing import Any

from ._forwarder import Forwarder
from ._records import Server
from ._resets import REFUSAL_MAXIMUM_CATALOG_AGE_SECONDS


def explain_opening(
    forwarder: Forwarder, address_key: bytes, now: float
) -> dict[str, Any]:
    """Return how an opening packet for an address would be handled, and why."""
    catalog = forwarder.catalog
    is_fresh = catalog.age(now) < REFUSAL_MAXIMUM_CATALOG_AGE_SECONDS
    route = catalog.find_route(address_key)
    if route is None:
        verdict = "refused: no route" if is_fresh else "dropped: no route, old view"
        return {"verdict": verdict, "servers": []}
    services = route.weights_by_service
    servers = [s for s in catalog.servers_by_id.values() if s.service in services]
    described = [_describe_server(forwarder, server, now) for server in servers]
    usable = sum(server["state"] == "takes new flows" for server in described)
    verdict = f"route {route.name}: {usable} of {len(described)} servers"
    if not forwarder.eligibility.servers_by_service(route, now):
        outcome = "refused" if is_fresh else "dropped, old view"
        reason = forwarder.eligibility.missing_reason(route)
        verdict = f"{outcome}: route {route.name} has no server for new flows: {reason}"
    overload = [
        s for s in forwarder.admission.describe(now) if s["service"] in services
    ]
    for service in overload:
        percent = service["refused_percent_by_priority"].get(route.priority, 0)
        if percent:
            verdict += (
                f"; {service['service']} is overloaded: {percent}% of new flows of "
                f"priority {route.priority} are refused"
            )
    spills = forwarder.zone_spill.describe() if forwarder.zone_spill else []
    return {
        "verdict": verdict,
        "servers": described,
        "overload": overload,
        "zone_spill": [s for s in spills if s["service"] in services],
    }


def _describe_server(forwarder: Forwarder, server: Server, now: float) -> dict:
    progress_at = forwarder.server_health.progress_at(server.server_id)
    is_seen = progress_at > float("-inf")
    return {
        "server": server.server_id,
        "zone": server.zone,
        "state": _state_of(forwarder, server, now),
        "under_way": forwarder.outstanding.count(server.server_id),
        "alive_ms": round(1000 * (now - progress_at)) if is_seen else -1,
        **forwarder.placement.describe(server, now),
    }


def _state_of(forwarder: Forwarder, server: Server, now: float) -> str:
    catalog, health = forwarder.catalog, forwarder.server_health
    slow_start = forwarder.eligibility.slow_start
    if server.is_draining:
        return "draining"
    if catalog.provisional.is_withheld(server.server_id):
        return "withheld"
    if catalog.evacuations.is_evacuated(server.zone):
        return "zone evacuated"
    if health.is_dead(server.server_id, now):
        return "dead"
    if health.is_out(server.server_id):
        return "out"
    if slow_start.is_cold(server, now):
        return "cold"
    return "warming" if slow_start.is_warming(server, now) else "takes new flows"
