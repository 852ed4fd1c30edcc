"""Entry hosts and versions.

Types that a starting node needs are apart from the others, since defining data
classes takes long on a small share of a core.
"""

from dataclasses import dataclass
from enum import Enum

from ._endpoint import Endpoint


class HostState(Enum):
    """State of an entry host as seen by its peers."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """Version of a document or a host list; versions are totally ordered.

    Operators set the number of documents only. The digest is the SHA-256 of the
    content and breaks ties between versions with the same number.
    """

    number: int
    digest: bytes

    def __str__(self) -> str:
        return f"{self.number}-{self.digest.hex()[:12]}"


@dataclass(frozen=True, slots=True)
class EntryHost:
    """An entry host of the region.

    `incarnation` is a new number at each start of the process. `sequence` orders the
    claims about one incarnation; only the host itself raises it, when its state
    changes and when it refutes an accusation. `link_mbps` is the bandwidth of its
    network link in Mbit/s, 0 if unknown.
    """

    host_id: str
    incarnation: int
    endpoint: Endpoint
    zone: str
    state: HostState = HostState.ALIVE
    version: Version | None = None
    sequence: int = 0
    link_mbps: int = 0
