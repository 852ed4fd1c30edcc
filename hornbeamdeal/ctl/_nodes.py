"""The `nodes`, `opening` and `trace` commands for direct-server-return nodes."""

import json
from collections.abc import Iterable
from typing import Any
from urllib.parse import urlencode

from ._explain import read_error_report
from ._http import map_in_parallel, read
from ._report import ExitCode, Report

# Changes must be in force within this time; an older view may be out of date.
STALE_AGE_MS = 3000
_SERVER_EVENTS = ("server_out", "server_dead", "server_back", "server_removed")


def nodes(hosts: list[str]) -> Report:
    """Report each node's view, and which nodes lag or hold an outdated view."""
    results = map_in_parallel(hosts, lambda host: read(host, "/status"))
    statuses, unreachable = {}, {}
    for host, result in zip(hosts, results, strict=True):
        if result.is_err():
            unreachable[host] = result.err_value.reason
            continue
        try:
            statuses[host] = json.loads(result.ok_value)
        except ValueError as error:
            unreachable[host] = f"the status cannot be read: {error}"
    newest = max((status["version"] for status in statuses.values()), default=0)
    behind = [h for h, s in statuses.items() if _is_behind(s, newest)]
    lines = [_node_line(host, status, newest) for host, status in statuses.items()]
    lines += [f"{host}: unreachable ({reason})" for host, reason in unreachable.items()]
    readers = sum(status["reads_the_store"] for status in statuses.values())
    lines.append(
        f"{len(behind)} behind, {len(unreachable)} unreachable, {readers} reading"
    )
    exit_code = ExitCode.DIFFERENCE if behind else ExitCode.OK
    return Report(
        lines,
        {"nodes": statuses, "behind": behind, "unreachable": unreachable},
        ExitCode.UNREACHABLE if unreachable else exit_code,
    )


def opening(host: str, address: str) -> Report:
    """Ask a node what would happen to an opening packet for an address, and why."""
    result = read(host, f"/explain?{urlencode({'address': address})}")
    if result.is_err():
        return read_error_report(host, result.err_value)
    explanation = json.loads(result.ok_value)
    lines = [f"{address}: {explanation['verdict']}"]
    lines += [_server_line(server) for server in explanation.get("servers", ())]
    return Report(lines, explanation)


def trace(log: str, caller: str, address: str) -> Report:
    """Report the log lines of a flow and the events of its servers."""
    flow_field = f"flow={caller}>{address}"
    try:
        with open(log, encoding="utf-8", errors="replace") as file:
            lines = [line.rstrip("\n") for line in file]
    except OSError as error:
        return Report([f"{log}: {error}"], {"error": str(error)}, ExitCode.DIFFERENCE)
    flow_lines = [line for line in lines if flow_field in line.split()]
    server_fields = {
        word for line in flow_lines for word in line.split() if _is_server_field(word)
    }
    matching_lines = [
        line
        for line in lines
        if line in flow_lines or _is_server_event(line, server_fields)
    ]
    if not flow_lines:
        message = f"no line has {flow_field}; ask the logs of the zone's other hosts"
        return Report([message], {"lines": []}, ExitCode.DIFFERENCE)
    return Report(matching_lines, {"lines": matching_lines})


def _is_behind(status: dict[str, Any], newest: int) -> bool:
    return status["version"] != newest or status["age_ms"] > STALE_AGE_MS


def _node_line(host: str, status: dict[str, Any], newest: int) -> str:
    parts = [
        f"{host} {status['host_id']} ({status['zone']}): version {status['version']}",
        f"revision {status['revision']}, {status['age_ms']} ms old",
        "ready" if status["ready"] else "not ready",
    ]
    if status["reads_the_store"]:
        parts.append(f"reads the store (position {status['reader_position']})")
    if status["servers_out"]:
        parts.append("out: " + " ".join(status["servers_out"]))
    for service in status.get("overload", ()):
        refused = service["refused_percent_by_priority"].items()
        shares = " ".join(
            f"priority {p} {percent}%" for p, percent in refused if percent
        )
        if shares:
            parts.append(f"refuses of {service['service']}: {shares}")
    for spill in status.get("zone_spill", ()):
        if spill["percent"]:
            zones = " ".join(spill["zones"]) or "none"
            parts.append(
                f"sends {spill['percent']}% of {spill['service']} to zones: {zones}"
            )
    if status["version"] != newest:
        parts.append(f"lags behind version {newest}")
    return ", ".join(parts)


def _server_line(server: dict[str, Any]) -> str:
    parts = [f"  {server['server']} ({server['zone']}): {server['state']}"]
    parts.append(f"{server['under_way']} requests under way here")
    alive = server["alive_ms"]
    parts.append(f"alive {alive} ms ago" if alive >= 0 else "not seen alive here")
    # Absent from the answers of older nodes.
    if server.get("slowness", 1.0) != 1.0:
        source, age = server["slowness_source"], server["slowness_age_ms"]
        parts.append(f"slowness {server['slowness']} ({source}, {age} ms ago)")
    return ", ".join(parts)


def _is_server_field(word: str) -> bool:
    return word.startswith("server=")


def _is_server_event(line: str, server_fields: Iterable[str]) -> bool:
    words = line.split()
    is_event = any(f"event={event}" in words for event in _SERVER_EVENTS)
    return is_event and any(field in words for field in server_fields)
