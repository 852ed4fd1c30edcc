"""Reads of the hosts' admin ports."""

import http.client
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TypeVar

from result import Err, Ok, Result

READ_TIMEOUT_SECONDS = 2.0
MAX_BODY_BYTES = 1_000_000
# A host that does not answer costs a thread the whole timeout; 2,000 hosts of
# which 100 are gone still take seconds.
_PARALLEL_READS = 32

ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class ReadError:
    """Why a host gave no usable answer; `reachable` if it answered at all."""

    reason: str
    reachable: bool = False


def read(host: str, path: str) -> Result[bytes, ReadError]:
    """Read a path from `ip:port`."""
    name, _, port = host.rpartition(":")
    try:
        connection = http.client.HTTPConnection(
            name.strip("[]"), int(port), timeout=READ_TIMEOUT_SECONDS
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
        detail = body[:200].decode(errors="replace").strip()
        return Err(ReadError(f"HTTP {response.status} {detail}".strip(), True))
    if len(body) > MAX_BODY_BYTES:
        return Err(ReadError("the answer is too long", True))
    return Ok(body)


def for_each(hosts: list[str], action: Callable[[str], ResultT]) -> list[ResultT]:
    """Apply a reading action to all hosts in parallel, results in order."""
    with ThreadPoolExecutor(_PARALLEL_READS) as pool:
        return list(pool.map(action, hosts))
