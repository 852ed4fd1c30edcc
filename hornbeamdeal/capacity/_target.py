"""Target figures of the design page, and further assumptions of the model."""

from dataclasses import asdict, dataclass, replace

SECONDS_A_DAY = 86_400


@dataclass(frozen=True, slots=True)
class DesignTarget:
    """Target figures of `docs/design.md`, section 1.

    Memory and values are in bytes, traffic in bytes a second, times in seconds, CPU
    in cores, and rates in events a second unless the name gives another period.
    """

    entry_hosts: float = 2000
    targets: float = 15_000
    addresses: float = 1800
    open_flows: float = 16_000_000
    new_flows: float = 180_000
    regions: float = 7
    zones: float = 18
    changes_a_day: float = 3900
    change_limit: float = 3.0
    control_cpu: float = 0.011
    control_memory: float = 64e6
    control_bytes: float = 26_000
    failures_a_day: float = 32
    replacements_a_day: float = 3300
    rack_losses_a_year: float = 52
    zone_losses_a_year: float = 6
    platform_reads: float = 2000
    platform_value: float = 1_000_000

    def doubled(self) -> "DesignTarget":
        """Return a target with twice the hosts, targets, addresses, flows and changes."""
        names = ("entry_hosts", "targets", "addresses", "open_flows", "new_flows")
        names += ("changes_a_day", "failures_a_day", "replacements_a_day")
        return replace(self, **{name: 2 * getattr(self, name) for name in names})


@dataclass(frozen=True, slots=True)
class Assumptions:
    """Figures that the target does not give.

    Sizes are in bytes, times in seconds, and rates in events a second unless the
    name gives another period.
    """

    refresh_seconds: float = 15
    notification_seconds: float = 5
    slots_a_target: float = 3
    utilisation: float = 0.7
    service_seconds: float = 0.1
    request_seconds: float = 0.5
    token_seconds: float = 60
    ambiguous_share: float = 0.125
    flow_slots: float = 262_144
    record_bytes: float = 24
    heartbeat_seconds: float = 1
    watched_keys: float = 2
    peak_changes: float = 0.5
    peak_seconds: float = 60
    ticks: float = 20
    rack_hosts: float = 40
    idle_seconds: float = 120
    opening_payload: float = 30
    block_limit: float = 0.05
    removal_limit: float = 5
    start_limit: float = 10
    maximum_tokens: float = 100_000
    maximum_exchanges: float = 20_000
    measured_zones: float = 3
    region_partitions_a_year: float = 6
    host_list_changes_a_day: float = 1000
    readers_a_zone: float = 2
    restart_calls: float = 5026
    relayed_request_bytes: float = 150
    core_budget: float = 0.7


REASONS_BY_ASSUMPTION = {
    "refresh_seconds": "a caller refreshes its flow once in the linger time",
    "notification_seconds": "a server notifies a caller of the map at this interval",
    "slots_a_target": "design page, environment",
    "utilisation": "share of slots that is busy, as in M3",
    "service_seconds": "mean time of a request at its target",
    "request_seconds": "mean time of a request in flight, queue included",
    "token_seconds": "lifetime of a run token, `requests._base.Limits`",
    "ambiguous_share": "flows of one service whose target changes weight: 1 in 8",
    "flow_slots": "default of `recent_flows` in `steering`",
    "record_bytes": "upper bound of a flow record on the wire, `steering._handover`",
    "heartbeat_seconds": "interval of heartbeats in the full mesh",
    "watched_keys": "document manifest and host list",
    "peak_changes": "peak rate of changes a second, 11 times the mean",
    "peak_seconds": "duration of such a peak",
    "ticks": "ticks a second, `daemon._driver.TICK_SECONDS` of 0.05",
    "rack_hosts": "hosts behind one rack or switch",
    "idle_seconds": "default of `idle_seconds` in `steering`",
    "opening_payload": "bytes of an opening CoAP packet",
    "block_limit": "rejections within 50 ms (M2): no work may hold the loop longer",
    "removal_limit": "design page, section 6: a dead host is removed within 5 s",
    "start_limit": "a new host gives up waiting for a version after 10 s",
    "maximum_tokens": "`requests._base.Limits`",
    "maximum_exchanges": "`requests._base.Limits`",
    "region_partitions_a_year": "several times a year, some minutes each",
    "measured_zones": "zones of the region in the measurement",
    "host_list_changes_a_day": "changes of targets in a region's host list a day, "
    "besides its entry hosts",
    "readers_a_zone": "`membership.READERS_PER_ZONE`",
    "relayed_request_bytes": "a 60-byte booking, `python -m benchmarks.home_hosts`",
    "restart_calls": "`python -m benchmarks.fleet_restart`: a whole region, times 7",
    "core_budget": "share of the core left to the data path",
}


def formula_variables(
    target: DesignTarget, assumptions: Assumptions
) -> dict[str, float]:
    """Return the variables of formulas: all figures, and some derived from them."""
    variables = {**asdict(target), **asdict(assumptions)}
    variables["region_hosts"] = target.entry_hosts / target.regions
    variables["zone_hosts"] = target.entry_hosts / target.zones
    variables["region_zones"] = target.zones / target.regions
    variables["region_targets"] = target.targets / target.regions
    variables["region_new_flows"] = target.new_flows / target.regions
    variables["host_flows"] = target.open_flows / target.entry_hosts
    variables["host_new_flows"] = target.new_flows / target.entry_hosts
    busy = target.targets * assumptions.slots_a_target * assumptions.utilisation
    rate = busy / assumptions.service_seconds
    variables["host_requests"] = rate / target.entry_hosts
    variables["service_flows"] = 2 * target.open_flows / target.addresses
    seen = assumptions.idle_seconds / assumptions.refresh_seconds
    variables["seen_share"] = min(1.0, seen / variables["region_hosts"])
    variables["changes"] = target.changes_a_day / SECONDS_A_DAY
    # Each failed host is also replaced.
    starts = target.replacements_a_day + target.failures_a_day
    variables["region_starts"] = starts / target.regions / SECONDS_A_DAY
    lists = assumptions.host_list_changes_a_day / SECONDS_A_DAY
    variables["host_lists"] = variables["region_starts"] + lists
    return variables
