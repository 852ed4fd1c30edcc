"""The `explain` command: which backend server a flow gets, and why."""

import json
from urllib.parse import urlencode

from ._http import ReadError, read
from ._report import ExitCode, Report


def explain(host: str, address: str, caller: str) -> Report:
    """Ask an entry host which server a caller's flow gets, and why."""
    query = urlencode({"address": address, "caller": caller})
    result = read(host, f"/explain?{query}")
    if result.is_err():
        return read_error_report(host, result.err_value)
    explanation = result.ok_value.decode(errors="replace").strip()
    return Report(
        [explanation], {"host": host, "explanation": _json_or_text(explanation)}
    )


def _json_or_text(explanation: str) -> object:
    try:
        return json.loads(explanation)
    except (ValueError, RecursionError):
        return explanation


def read_error_report(host: str, error: ReadError) -> Report:
    """Return the report of a failed read from a host."""
    outcome = "refused" if error.reachable else "unreachable"
    exit_code = ExitCode.DIFFERENCE if error.reachable else ExitCode.UNREACHABLE
    data = {"host": host, "error": error.reason}
    return Report([f"{host}: {outcome} ({error.reason})"], data, exit_code)
