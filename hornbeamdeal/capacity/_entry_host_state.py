"""Estimates of an entry host's state and control traffic."""

from ._estimate import TOTAL_REMEDY, EstimateSpec, sum_of

_DOCUMENT = "at(target_memory, targets)"
_SEGMENTS = "at(segment_memory, at(document_segments, targets))"
_PEERS = "per(peer_view_memory) * region_hosts"
_TABLE = "per(flow_record_memory) * flow_slots"
_GOSSIP = "at(membership_bytes, region_hosts)"
_CHANGES = "at(change_bytes, region_hosts) * changes"
_LISTS = "at(list_bytes, region_hosts) * host_lists"
_RELAYS = "host_new_flows * at(relayed_packet_bytes, opening_payload)"
_REQUESTS = "host_requests * relayed_request_bytes"
_STARTS = "at(replace_bytes, 1 / region_hosts) * region_starts"

MEMORY = (
    EstimateSpec(
        "document, view, indexes",
        "B",
        _DOCUMENT,
        "control_memory",
        "whole document in memory, a region's servers in the view",
    ),
    EstimateSpec(
        "segments to pass on", "B", _SEGMENTS, "control_memory", "segments by digest"
    ),
    EstimateSpec(
        "peers",
        "B",
        _PEERS,
        "control_memory",
        "members of one region, owners, places for home slots",
    ),
    EstimateSpec(
        "recent-flow table",
        "B",
        _TABLE,
        "control_memory",
        "bounded array, 12 bytes a record",
    ),
    EstimateSpec(
        "control memory in all",
        "B",
        sum_of(_DOCUMENT, _SEGMENTS, _PEERS, _TABLE),
        "control_memory",
        "sum of the lines above",
    ),
    EstimateSpec(
        "flows seen while idle",
        "records",
        "open_flows / regions * seen_share",
        "flow_slots",
        "a host sees each flow of its region at seen_share",
    ),
    EstimateSpec(
        "run tokens",
        "tokens",
        "host_requests * token_seconds",
        "maximum_tokens",
        "used tokens until they expire",
    ),
    EstimateSpec(
        "memory of run tokens",
        "B",
        "per(run_token_memory) * host_requests * token_seconds",
        "control_memory",
        "record and answer a token",
    ),
    EstimateSpec(
        "requests in flight",
        "requests",
        "host_requests * request_seconds",
        "maximum_exchanges",
        "exchange table",
    ),
    EstimateSpec(
        "memory of requests in flight",
        "B",
        "per(in_flight_memory) * host_requests * request_seconds",
        "control_memory",
        "exchange, ticket, datagram",
    ),
)
TRAFFIC = (
    EstimateSpec(
        "membership messages",
        "1/s",
        "at(membership_messages, region_hosts)",
        "",
        "SWIM: one probe a second, its answer, offers",
    ),
    EstimateSpec(
        "membership bytes",
        "B/s",
        _GOSSIP,
        "control_bytes",
        "probes, offers and a full exchange every 20 s",
    ),
    EstimateSpec(
        "document changes",
        "B/s",
        _CHANGES,
        "control_bytes",
        "offers, manifest, one segment, versions in gossip",
    ),
    EstimateSpec(
        "host list changes",
        "B/s",
        _LISTS,
        "control_bytes",
        "offers, manifest, changed segments",
    ),
    EstimateSpec(
        "relayed opening packets",
        "B/s",
        _RELAYS,
        "control_bytes",
        "one relay to the key's owner for each new flow",
    ),
    EstimateSpec(
        "starts of other hosts",
        "B/s",
        _STARTS,
        "control_bytes",
        "joining, versions, served segments",
    ),
    EstimateSpec(
        "control bytes in all",
        "B/s",
        sum_of(_GOSSIP, _CHANGES, _LISTS, _RELAYS, _STARTS),
        "control_bytes",
        "sum of the lines above",
        TOTAL_REMEDY,
    ),
    EstimateSpec(
        "relayed requests, data of callers",
        "B/s",
        _REQUESTS,
        "control_bytes",
        "one relay to a home host of the service; not counted as control",
    ),
    EstimateSpec(
        "control bytes with relayed requests",
        "B/s",
        sum_of(_GOSSIP, _CHANGES, _LISTS, _RELAYS, _STARTS, _REQUESTS),
        "control_bytes",
        "were the callers' data counted as control",
        "let the fabric send a service's packets to its home hosts, so that no "
        "relay is needed",
    ),
)
