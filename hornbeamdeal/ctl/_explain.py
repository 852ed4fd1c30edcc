"""Why a flow goes to a backend server: explain."""

import json
from urllib.parse import urlencode

from ._http import ReadError, read
from ._report import ExitCode, Report


def explain(host: str, address: str, caller: str) -> Report:
    """Ask an entry host which server a caller's flow gets, and why."""
    query = urlencode({"address": address, "caller": caller})
    result = read(host, f"/explain?{query}")
    if result.is_err():
        return failed(host, result.err_value)
    text = result.ok_value.decode(errors="replace").strip()
    return Report([text], {"host": host, "explanation": _decoded(text)})


def _decoded(text: str) -> object:
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return text


def failed(host: str, error: ReadError) -> Report:
    """Report that a host gave no usable answer."""
    words = "refused" if error.reachable else "unreachable"
    code = ExitCode.DIFFERENCE if error.reachable else ExitCode.UNREACHABLE
    data = {"host": host, "error": error.reason}
    return Report([f"{host}: {words} ({error.reason})"], data, code)
