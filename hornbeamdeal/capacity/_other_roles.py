"""Estimates of readers, owners, the operators' client and the platform."""

from ._entry_host_cpu import LIST_REMEDY
from ._estimate import EstimateSpec

READER = (
    EstimateSpec(
        "watches", "watches", "watched_keys", "", "document manifest and host list"
    ),
    EstimateSpec(
        "document reads",
        "B/s",
        "(at(manifest_bytes, targets) + at(changed_segment_bytes, targets)) * changes",
        "control_bytes",
        "manifest, head and one segment a change",
    ),
    EstimateSpec(
        "host list reads",
        "B/s",
        "at(host_list_bytes, region_targets) * host_lists",
        "control_bytes",
        "the whole list a revision",
        LIST_REMEDY,
    ),
    EstimateSpec(
        "reads at the peak",
        "B/s",
        "(at(manifest_bytes, targets) + at(changed_segment_bytes, targets)) * peak_changes",
        "control_bytes",
        "the watch answers with the latest manifest only",
    ),
    EstimateSpec(
        "largest value: host list",
        "B",
        "at(host_list_bytes, region_targets)",
        "platform_value",
        "one value a region",
        "one key a zone",
    ),
    EstimateSpec(
        "largest value: manifest",
        "B",
        "at(manifest_bytes, targets)",
        "platform_value",
        "67 bytes a segment",
    ),
    EstimateSpec(
        "largest value: segment",
        "B",
        "at(changed_segment_bytes, targets)",
        "platform_value",
        "about 8 services a segment",
    ),
)
OWNER = (
    EstimateSpec(
        "opening records",
        "records",
        "host_new_flows * refresh_seconds",
        "flow_slots",
        "kept for 15 s",
    ),
    EstimateSpec(
        "relayed opening packets received",
        "1/s",
        "host_new_flows * (region_hosts - 1) / region_hosts",
        "",
        "one owner a key",
    ),
    EstimateSpec(
        "CPU for other hosts' new flows",
        "core",
        "per(new_flow_owner_cpu) * host_new_flows",
        "core_budget",
        "open envelope, assign, forward",
    ),
    EstimateSpec(
        "bytes of a relayed opening packet",
        "B",
        "at(relayed_packet_bytes, opening_payload)",
        "1200",
        "one datagram",
    ),
    EstimateSpec(
        "records handed over a change",
        "B",
        "service_flows * seen_share * ambiguous_share * record_bytes",
        "control_bytes",
        "ambiguous flows of the changed service alone (opaque codec)",
    ),
    EstimateSpec(
        "records handed over on average",
        "B/s",
        "service_flows * seen_share * ambiguous_share * record_bytes * changes / regions",
        "control_bytes",
        "paced to the control budget",
    ),
)
CLIENT = (
    EstimateSpec(
        "check and compare two documents",
        "s",
        "2 * at(first_parse_cpu, targets)",
        "start_limit",
        "both documents parsed",
    ),
    EstimateSpec(
        "memory of a comparison",
        "B",
        "2 * at(target_memory, targets)",
        "",
        "upper bound: views and indexes are not built",
    ),
    EstimateSpec(
        "files to publish",
        "files",
        "at(document_segments, targets) + 1",
        "",
        "segments and manifest",
    ),
    EstimateSpec(
        "bytes to publish",
        "B",
        "at(document_bytes, targets)",
        "",
        "unchanged segments are already there",
    ),
    EstimateSpec(
        "calls for a status of all hosts",
        "calls",
        "entry_hosts",
        "",
        "one read of each admin port",
    ),
)
_WATCHES = "at(platform_watches, region_hosts) * zones / measured_zones"
_CALLS = "at(platform_calls, region_hosts) * zones / measured_zones"
_START_CALLS = "at(replace_calls, region_hosts) * region_starts * regions"
PLATFORM = (
    EstimateSpec(
        "pending watches",
        "watches",
        _WATCHES,
        "platform_reads",
        "two readers a zone, two keys",
    ),
    EstimateSpec(
        "calls in quiet times",
        "1/s",
        _CALLS,
        "platform_reads",
        "watches renewed every 30 s",
    ),
    EstimateSpec(
        "calls of new hosts",
        "1/s",
        _START_CALLS,
        "platform_reads",
        "a new host reads once; peers give the segments",
    ),
    EstimateSpec(
        "calls at the peak of changes",
        "1/s",
        f"{_WATCHES} + {_CALLS} + zones * readers_a_zone * 3 * peak_changes",
        "platform_reads",
        "a manifest and up to two segments a reader",
    ),
    EstimateSpec(
        "calls after a restart of all hosts",
        "1/s",
        "restart_calls",
        "platform_reads",
        "first reads spread over 2.5 s; readers read segments",
        "hosts that know few peers yet take themselves for readers: let a host read "
        "segments only after a peer has answered its join",
    ),
)
