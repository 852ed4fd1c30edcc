"""Estimates of an entry host's control CPU and data path."""

from ._estimate import TOTAL_REMEDY, EstimateSpec, sum_of

_GOSSIP_CPU = "at(membership_cpu, region_hosts)"
_TICK_CPU = "at(tick_cpu, targets) * ticks"
_CHANGE_CPU = (
    "(at(change_cpu, targets) + at(change_gossip_cpu, region_hosts)) * changes"
)
_LIST_CPU = "at(host_list_cpu, targets) * host_lists"
_MEMBERS_CPU = "at(members_changed_cpu, region_hosts) * region_starts * 2"
_PACKETS = "per(packet_cpu) * host_flows / refresh_seconds"
_NOTIFICATIONS = "per(server_packet_cpu) * host_flows / notification_seconds"
_NEW_FLOWS = "(per(new_flow_entry_cpu) + per(new_flow_owner_cpu)) * host_new_flows"
_REQUESTS = "per(request_cpu) * host_requests"

TICK_REMEDY = (
    "tick only pools and histories with work due (a heap of due times), every 50 ms "
    "as the kernel says, not 20 ms"
)
MEMBERS_REMEDY = (
    "deal home slots of one service at a time when its next ticket comes, and rank "
    "hosts once a change instead of once a slot"
)
LIST_REMEDY = "apply a host list as a difference by segment instead of rebuilding"

CONTROL_CPU = (
    EstimateSpec(
        "membership and dissemination",
        "core",
        _GOSSIP_CPU,
        "control_cpu",
        "ticks and messages, envelope included",
    ),
    EstimateSpec(
        "ticks of steering and admission",
        "core",
        _TICK_CPU,
        "control_cpu",
        "each tick visits all services and targets of the region",
        TICK_REMEDY,
    ),
    EstimateSpec(
        "work for document changes",
        "core",
        _CHANGE_CPU,
        "control_cpu",
        "changed segments parsed, view rebuilt",
    ),
    EstimateSpec(
        "work for host list changes",
        "core",
        _LIST_CPU,
        "control_cpu",
        "list parsed, view rebuilt",
        LIST_REMEDY,
    ),
    EstimateSpec(
        "members that come and go",
        "core",
        _MEMBERS_CPU,
        "control_cpu",
        "home slots dealt anew for all services",
        MEMBERS_REMEDY,
    ),
    EstimateSpec(
        "control CPU in all",
        "core",
        sum_of(_GOSSIP_CPU, _TICK_CPU, _CHANGE_CPU, _LIST_CPU, _MEMBERS_CPU),
        "control_cpu",
        "sum of the lines above",
        TOTAL_REMEDY,
    ),
    EstimateSpec(
        "loop held by a document",
        "s",
        "at(change_cpu, targets)",
        "block_limit",
        "one event loop, nothing else runs meanwhile",
    ),
    EstimateSpec(
        "loop held by a host list",
        "s",
        "at(host_list_cpu, targets)",
        "block_limit",
        "one event loop",
        LIST_REMEDY,
    ),
    EstimateSpec(
        "loop held by a member's change",
        "s",
        "at(members_changed_cpu, region_hosts)",
        "block_limit",
        "one event loop",
        MEMBERS_REMEDY,
    ),
)
DATA_PATH = (
    EstimateSpec(
        "callers' packets",
        "core",
        _PACKETS,
        "core_budget",
        "handle checked, no record needed",
    ),
    EstimateSpec(
        "servers' packets",
        "core",
        _NOTIFICATIONS,
        "core_budget",
        "handle added to each answer",
    ),
    EstimateSpec(
        "new flows",
        "core",
        _NEW_FLOWS,
        "core_budget",
        "relay to the owner, assignment, forwarding",
    ),
    EstimateSpec(
        "requests",
        "core",
        _REQUESTS,
        "core_budget",
        "token, admission, dispatch, answer",
    ),
    EstimateSpec(
        "data path in all",
        "core",
        sum_of(_PACKETS, _NOTIFICATIONS, _NEW_FLOWS, _REQUESTS),
        "core_budget",
        "sum of the lines above",
        "a process for each core, with the fabric spraying over them",
    ),
)
