"""The `status` and `promoted` commands: the versions in force on entry hosts."""

import json
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from typing import Any

from jsonschema import Draft202012Validator
from result import Err, Ok, Result

from hornbeamdeal.kernel import Version

from ._http import ReadError, map_in_parallel, read
from ._report import ExitCode, Report

_STATUS_VALIDATOR = Draft202012Validator(
    {
        "type": "object",
        "required": ["host_id", "zone", "version_number", "version_digest"],
        "properties": {
            "host_id": {"type": "string"},
            "zone": {"type": "string"},
            "version_number": {"type": ["integer", "null"]},
            "version_digest": {
                "type": ["string", "null"],
                "pattern": "^([0-9a-f]{2})*$",
            },
            "in_force_since": {"type": ["string", "number", "null"]},
            "ready": {"type": "boolean"},
        },
    }
)


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Status that an entry host reports; `in_force_since` is ISO 8601 in UTC."""

    host: str
    host_id: str
    zone: str
    version_number: int
    version_digest: str
    in_force_since: str
    ready: bool

    @property
    def version(self) -> Version:
        """Version in force; number 0 means that there is none."""
        return Version(self.version_number, bytes.fromhex(self.version_digest))


def read_status(host: str) -> Result[HostStatus, ReadError]:
    """Read the status of one entry host."""
    return read(host, "/status").and_then(lambda body: _parse_status(host, body))


def _parse_status(host: str, body: bytes) -> Result[HostStatus, ReadError]:
    try:
        fields = json.loads(body)
        error = next(_STATUS_VALIDATOR.iter_errors(fields), None)
        since = "" if error else _utc_text(fields.get("in_force_since"))
    except (ValueError, OverflowError, RecursionError):
        return Err(ReadError("the status cannot be read", True))
    if error:
        return Err(ReadError(f"the status cannot be read: {error.message}", True))
    return Ok(
        HostStatus(
            host=host,
            host_id=fields["host_id"],
            zone=fields["zone"],
            version_number=fields["version_number"] or 0,
            version_digest=fields["version_digest"] or "",
            in_force_since=since,
            ready=fields.get("ready", False),
        )
    )


def _utc_text(since: str | float | None) -> str:
    if since is None or since == "":
        return ""
    if isinstance(since, str):
        time = datetime.fromisoformat(since)
        time = time if time.tzinfo else time.replace(tzinfo=UTC)
    else:
        time = datetime.fromtimestamp(since, UTC)
    return time.astimezone(UTC).isoformat(timespec="milliseconds")


def _read_statuses(hosts: list[str]) -> tuple[list[HostStatus], dict[str, str]]:
    results = map_in_parallel(hosts, read_status)
    statuses = [r.ok_value for r in results if r.is_ok()]
    # Includes hosts that answered, but without a usable status.
    unreachable = {
        host: result.err_value.reason
        for host, result in zip(hosts, results, strict=True)
        if result.is_err()
    }
    return statuses, unreachable


def status(hosts: list[str]) -> Report:
    """Report the version in force on each host, and which hosts lag."""
    statuses, unreachable = _read_statuses(hosts)
    newest = max((s.version for s in statuses), default=None)
    # Host clocks may differ, so this is the earliest time reported for the version.
    start_times = [s.in_force_since for s in statuses if s.version == newest]
    since = min(filter(None, start_times), default="")
    lagging = [s.host_id for s in statuses if s.version != newest]
    return Report(
        lines=[_host_line(s, newest, since) for s in statuses]
        + _unreachable_lines(unreachable)
        + [_summary_line(lagging, unreachable)],
        data={
            "hosts": [asdict(s) for s in statuses],
            "lagging": dict.fromkeys(lagging, since),
            "unreachable": unreachable,
        },
        exit_code=_exit_code(bool(lagging), unreachable),
    )


def _host_line(host: HostStatus, newest: Version | None, since: str) -> str:
    ready = "ready" if host.ready else "not ready"
    line = f"{host.host} {host.host_id} ({host.zone}): {_version_text(host)}, {ready}"
    if host.version != newest:
        line += f"; lags since {since or 'an unknown time'}"
    return line


def _version_text(host: HostStatus) -> str:
    if not host.version_number:
        return "no version in force"
    text = f"version {host.version_number}, digest {host.version_digest}"
    return f"{text}, in force since {host.in_force_since or 'an unknown time'}"


def _unreachable_lines(unreachable: dict[str, str]) -> list[str]:
    return [f"{host}: unreachable ({reason})" for host, reason in unreachable.items()]


def _summary_line(lagging: list[str], unreachable: dict[str, str]) -> str:
    return f"{len(lagging)} lagging, {len(unreachable)} unreachable"


def _exit_code(has_difference: bool, unreachable: dict[str, str]) -> ExitCode:
    if unreachable:
        return ExitCode.UNREACHABLE
    return ExitCode.DIFFERENCE if has_difference else ExitCode.OK


def promoted(trial_hosts: list[str], production_hosts: list[str]) -> Report:
    """Report whether the same document is in force in both environments."""
    results_by_environment = {
        "trial": _read_statuses(trial_hosts),
        "production": _read_statuses(production_hosts),
    }
    unreachable = {
        host: reason
        for _, errors in results_by_environment.values()
        for host, reason in errors.items()
    }
    digests = {
        environment: sorted({s.version_digest for s in statuses})
        for environment, (statuses, _) in results_by_environment.items()
    }
    all_digests = set(digests["trial"]) | set(digests["production"])
    is_same = len(all_digests) == 1 and "" not in all_digests
    data: dict[str, Any] = {"promoted": is_same and not unreachable, **digests}
    return Report(
        lines=[_digests_line(name, found) for name, found in digests.items()]
        + _unreachable_lines(unreachable)
        + [_promotion_verdict(digests, is_same, unreachable)],
        data={**data, "unreachable": unreachable},
        exit_code=_exit_code(not is_same, unreachable),
    )


def _digests_line(environment: str, digests: list[str]) -> str:
    return f"{environment}: " + (
        ", ".join(d or "none in force" for d in digests) or "unknown"
    )


def _promotion_verdict(
    digests: dict[str, list[str]], is_same: bool, unreachable: dict[str, str]
) -> str:
    if not all(digests.values()):
        return "cannot compare: no host of one environment answered"
    verdict = "the same document is in force" if is_same else "the documents differ"
    return f"{verdict} on the hosts that answered" if unreachable else verdict
