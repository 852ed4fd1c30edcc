"""Puts changed settings in force in a running node."""

from hornbeamdeal.dsr import Node

from ._settings import NodeSettings

# A change of these takes effect at the next start: the host is known to its peers by
# them, has opened ports on them, or reads them only at its start.
RESTART_SETTINGS = frozenset(
    {
        "cold_overage",
        "cold_slack",
        "entry_lifetime_seconds",
        "host_id",
        "ip",
        "metrics_port",
        "packet_listen",
        "peer_port",
        "readiness_listen",
        "seed_ips",
        "zone",
    }
)


def apply_settings(node: Node, old: NodeSettings, new: NodeSettings) -> None:
    """Put in force what can change without a restart; log what can't.

    Requests to the store go to a new address at once. The next read is a full one, as
    the store there may have another history. The time limit of a stop is read when the
    node stops. Peers recognize this host by the new name of its environment, and for a
    while by the former one.
    """
    if new.store != old.store:
        node.reader.source.move_to(new.store)
        node.read_scheduler.must_reload = True
    node.environment.rename(new.environment, node.clock.monotonic())
    node.read_scheduler.freshness = new.freshness_seconds
    node.read_scheduler.contact = new.contact_seconds
    node.catalog.removals.flow_lifetime = new.flow_lifetime_seconds
    node.forwarder.link_queue.link_mbps = new.link_mbps
    waiting = sorted(RESTART_SETTINGS.intersection(old.differences(new)))
    if waiting:
        node.journal.event("settings_need_restart", changed=",".join(waiting))
