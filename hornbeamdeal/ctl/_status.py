"""Versions in force on entry hosts: status and promoted."""

import json
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from typing import Any

from jsonschema import Draft202012Validator
from result import Err, Ok, Result

from hornbeamdeal.kernel import Version

from ._http import ReadError, for_each, read
from ._report import ExitCode, Report

_STATUS = Draft202012Validator(
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
    """What an entry host says of itself. `in_force_since` is ISO 8601 in UTC."""

    host: str
    host_id: str
    zone: str
    version_number: int
    version_digest: str
    in_force_since: str
    ready: bool

    @property
    def version(self) -> Version:
        """Return the version in force; number 0 stands for none."""
        return Version(self.version_number, bytes.fromhex(self.version_digest))


def read_status(host: str) -> Result[HostStatus, ReadError]:
    """Read the status of one entry host."""
    return read(host, "/status").and_then(lambda body: _decode(host, body))


def _decode(host: str, body: bytes) -> Result[HostStatus, ReadError]:
    try:
        fields = json.loads(body)
        error = next(_STATUS.iter_errors(fields), None)
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
        moment = datetime.fromisoformat(since)
        moment = moment if moment.tzinfo else moment.replace(tzinfo=UTC)
    else:
        moment = datetime.fromtimestamp(since, UTC)
    return moment.astimezone(UTC).isoformat(timespec="milliseconds")


def _read_all(hosts: list[str]) -> tuple[list[HostStatus], dict[str, str]]:
    results = for_each(hosts, read_status)
    statuses = [r.ok_value for r in results if r.is_ok()]
    unreachable = {
        host: result.err_value.reason
        for host, result in zip(hosts, results, strict=True)
        if result.is_err()
    }
    return statuses, unreachable


def status(hosts: list[str]) -> Report:
    """Report the version in force on each host and which hosts lag."""
    statuses, unreachable = _read_all(hosts)
    newest = max((s.version for s in statuses), default=None)
    # Hosts' clocks may differ, so the time is that of the first host to have it.
    moments = [s.in_force_since for s in statuses if s.version == newest]
    since = min(filter(None, moments), default="")
    lagging = [s.host_id for s in statuses if s.version != newest]
    return Report(
        lines=[_host_line(s, newest, since) for s in statuses]
        + _unreachable_lines(unreachable)
        + [_verdict(lagging, unreachable)],
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
    return [f"{host}: unreachable ({why})" for host, why in unreachable.items()]


def _verdict(lagging: list[str], unreachable: dict[str, str]) -> str:
    return f"{len(lagging)} lagging, {len(unreachable)} unreachable"


def _exit_code(differs: bool, unreachable: dict[str, str]) -> ExitCode:
    if unreachable:
        return ExitCode.UNREACHABLE
    return ExitCode.DIFFERENCE if differs else ExitCode.OK


def promoted(trial_hosts: list[str], production_hosts: list[str]) -> Report:
    """Report whether one document is in force in both environments."""
    sides = {"trial": _read_all(trial_hosts), "production": _read_all(production_hosts)}
    unreachable = {
        host: why for _, down in sides.values() for host, why in down.items()
    }
    digests = {
        side: sorted({s.version_digest for s in statuses})
        for side, (statuses, _) in sides.items()
    }
    found = set(digests["trial"]) | set(digests["production"])
    same = len(found) == 1 and "" not in found
    data: dict[str, Any] = {"promoted": same and not unreachable, **digests}
    return Report(
        lines=[_digests_line(side, found) for side, found in digests.items()]
        + _unreachable_lines(unreachable)
        + [_promotion_verdict(digests, same, unreachable)],
        data={**data, "unreachable": unreachable},
        exit_code=_exit_code(not same, unreachable),
    )


def _digests_line(side: str, digests: list[str]) -> str:
    return f"{side}: " + (", ".join(d or "none in force" for d in digests) or "unknown")


def _promotion_verdict(
    digests: dict[str, list[str]], same: bool, unreachable: dict[str, str]
) -> str:
    if not all(digests.values()):
        return "cannot compare: no host of one environment answered"
    verdict = "the same document is in force" if same else "the documents differ"
    return f"{verdict} on the hosts that answered" if unreachable else verdict
