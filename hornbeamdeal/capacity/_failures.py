"""Estimates of changes, replacements, losses, healed zones and alternative designs."""

from ._estimate import EstimateSpec

# Rounds of offers until all hosts have a change; each round doubles their number.
_HOP_COUNT = "ceil(log2(region_hosts))"
# Remedies if a loss or a healing takes too long for 95% of the pairs of hosts, or
# for all.
MOST_HOSTS_REMEDY = (
    "shorten the suspicion time-out as more hosts suspect the same member "
    "(Lifeguard), from 2.5 s to 1 s"
)
ALL_HOSTS_REMEDY = (
    "let a host that removes several members exchange lists with a random peer "
    "at once, so that one that missed the gossip does not wait for its own probes"
)
CHANGES = (
    EstimateSpec(
        "a change reaches the region",
        "s",
        "at(change_seconds, log2(region_hosts))",
        "change_limit",
        "offers on change, doubling each round",
    ),
    EstimateSpec(
        "with parsing at each hop",
        "s",
        f"at(change_seconds, log2(region_hosts)) + at(change_cpu, targets) * {_HOP_COUNT}",
        "change_limit",
        "a host passes on what it put in force",
    ),
    EstimateSpec(
        "messages a change",
        "messages",
        "at(change_messages, region_hosts)",
        "",
        "offers and version updates, a host",
    ),
    EstimateSpec(
        "bytes a change", "B", "at(change_bytes, region_hosts)", "", "sent by a host"
    ),
    EstimateSpec(
        "bytes at the mean rate",
        "B/s",
        "at(change_bytes, region_hosts) * changes",
        "control_bytes",
        "3,900 a day",
    ),
    EstimateSpec(
        "bytes at the peak rate",
        "B/s",
        "at(change_bytes, region_hosts) * peak_changes",
        "control_bytes",
        "0.5 a second for a minute",
        "readers join changes that are less than 2 s apart, and versions in gossip are sent once a second",
    ),
    EstimateSpec(
        "CPU at the peak rate",
        "core",
        "(at(change_cpu, targets) + at(change_gossip_cpu, region_hosts)) * peak_changes",
        "control_cpu",
        "rebuild a change",
        "rebuild only the changed service's part of view, steering and admission",
    ),
)
REPLACEMENTS = (
    EstimateSpec(
        "replacements in a region",
        "1/s",
        "region_starts",
        "",
        "3,300 replacements and 32 failures a day",
    ),
    EstimateSpec(
        "state fetched by a new host",
        "B",
        "at(replace_fetch_bytes, region_hosts)",
        "",
        "document and host list from peers",
    ),
    EstimateSpec(
        "time until it has the state",
        "s",
        "at(replace_fetch_seconds, region_hosts) + at(first_parse_cpu, targets)",
        "start_limit",
        "fetch, then the first parse",
    ),
    EstimateSpec(
        "messages for each other host",
        "messages",
        "at(replace_messages, region_hosts)",
        "",
        "one leaves, one joins",
    ),
    EstimateSpec(
        "bytes for each other host",
        "B",
        "at(replace_bytes, 1 / region_hosts)",
        "",
        "one leaves, one joins",
    ),
    EstimateSpec(
        "bytes on average",
        "B/s",
        "at(replace_bytes, 1 / region_hosts) * region_starts",
        "control_bytes",
        "all day",
    ),
)


def _loss_specs(
    slope_prefix: str, title: str, end_condition: str
) -> tuple[EstimateSpec, ...]:
    """Return the estimates for a loss, or for a zone that comes back."""
    seconds = f"at({slope_prefix}_seconds, region_hosts)"
    return (
        EstimateSpec(
            f"{title}: messages a host",
            "messages",
            f"at({slope_prefix}_messages, region_hosts)",
            "",
            "probes, suspicions, checks",
        ),
        EstimateSpec(
            f"{title}: bytes a host",
            "B",
            f"at({slope_prefix}_bytes, region_hosts)",
            "",
            "above quiet traffic",
        ),
        EstimateSpec(
            f"{title}: seconds for most",
            "s",
            f"at({slope_prefix}_most_seconds, region_hosts)",
            "removal_limit",
            f"{end_condition}, for 95% of the pairs of hosts",
            MOST_HOSTS_REMEDY,
        ),
        EstimateSpec(
            f"{title}: seconds for all",
            "s",
            seconds,
            "removal_limit",
            end_condition,
            ALL_HOSTS_REMEDY,
        ),
        EstimateSpec(
            f"{title}: bytes a second",
            "B/s",
            f"at({slope_prefix}_bytes, region_hosts) / max({seconds}, 1) + at(membership_bytes, region_hosts)",
            "control_bytes",
            "while it lasts",
            "limit records a message and rounds a second",
        ),
    )


def _yearly_spec(slope_prefix: str, quantity: str, rate: str) -> EstimateSpec:
    formula = f"at({slope_prefix}_bytes, region_hosts) * {rate} / regions"
    mechanism = "bytes of a host, for the losses of one region"
    return EstimateSpec(quantity, "B", formula, "", mechanism)


LOSSES = (
    *_loss_specs("rack", "a rack", "until no host lists one of its rack_hosts"),
    *_loss_specs("zone", "a zone", "until no host lists one of its hosts"),
    *_loss_specs("heal", "a parted zone heals", "until all hosts list all"),
    _yearly_spec("rack", "racks lost in a year", "rack_losses_a_year"),
    _yearly_spec("zone", "zones lost in a year", "zone_losses_a_year"),
    EstimateSpec(
        "regions parted and healed in a year",
        "messages",
        "0 * region_partitions_a_year",
        "",
        "regions exchange no messages; each reads its own platform",
    ),
)
# The part of a quantity before the colon is the name of the design.
ALTERNATIVES = (
    EstimateSpec(
        "full mesh of heartbeats: in a region, bytes",
        "B/s",
        "at(ping_bytes, 0) * (region_hosts - 1) / heartbeat_seconds",
        "control_bytes",
        "each host sends an empty ping to each of its region, without answers",
    ),
    EstimateSpec(
        "full mesh of heartbeats: of all hosts, bytes",
        "B/s",
        "at(ping_bytes, 0) * (entry_hosts - 1) / heartbeat_seconds",
        "control_bytes",
        "each host sends one to all",
    ),
    EstimateSpec(
        "full mesh of heartbeats: of all hosts, CPU",
        "core",
        "per(envelope_cpu) * (entry_hosts - 1) / heartbeat_seconds",
        "control_cpu",
        "seal one and open one for each pair",
    ),
    EstimateSpec(
        "every host watches the platform: watches",
        "watches",
        "entry_hosts * watched_keys",
        "platform_reads",
        "a pending watch is a call",
    ),
    EstimateSpec(
        "every host watches the platform: reads a change",
        "reads",
        "entry_hosts * 2",
        "platform_reads",
        "manifest and segment, all within a second",
    ),
    EstimateSpec(
        "whole document each change: at the mean rate",
        "B/s",
        "at(document_bytes, targets) * changes",
        "control_bytes",
        "sent once by each host on average",
    ),
    EstimateSpec(
        "whole document each change: at the peak rate",
        "B/s",
        "at(document_bytes, targets) * peak_changes",
        "control_bytes",
        "0.5 a second",
    ),
    EstimateSpec(
        "flow state on all hosts: bytes",
        "B/s",
        "record_bytes * region_new_flows",
        "control_bytes",
        "records of new flows received by each host of the region",
    ),
    EstimateSpec(
        "flow state on all hosts: memory",
        "B",
        "per(flow_record_memory) * open_flows / regions",
        "control_memory",
        "each host keeps each flow of the region",
    ),
)
