"""HTTP requests to the admin and metrics ports of hosts."""

import http.client
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TypeVar

from result import Err, Ok, Result

READ_TIMEOUT_SECONDS = 2.0
MAX_BODY_BYTES = 1_000_000
# A host that does not answer occupies a thread for the whole timeout; reading
# 2,000 hosts of which 100 do not answer still takes only seconds.
_MAX_PARALLEL_READS = 32

ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class ReadError:
    """Reason for a failed read; `reachable` is true if the host responded."""

    reason: str
    reachable: bool = False


def read(host: str, path: str) -> Result[bytes, ReadError]:
    """Return the response body of a GET request to a host given as `ip:port`."""
    ip, _, port = host.rpartition(":")
    try:
        connection = http.client.HTTPConnection(
            ip.strip("[]"), int(port), timeout=READ_TIMEOUT_SECONDS
        )
    except ValueError:
        return Err(ReadError("not of the form ip:port"))
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read(MAX_BODY_BYTES + 1)
    except (OSError, http.client.HTTPException) as error:
        return Err(ReadError(str(error) or type(error).__name__))
    finally:
        connection.close()
    if response.status != http.client.OK:
        excerpt = body[:200].decode(errors="replace").strip()
        return Err(ReadError(f"HTTP {response.status} {excerpt}".strip(), True))
    if len(body) > MAX_BODY_BYTES:
        return Err(ReadError("the answer is too long", True))
    return Ok(body)


def map_in_parallel(
    hosts: list[str], function: Callable[[str], ResultT]
) -> list[ResultT]:
    """Call a function for all hosts in parallel; return its results in host order."""
    with ThreadPoolExecutor(_MAX_PARALLEL_READS) as pool:
        return list(pool.map(function, hosts))
