"""SWIM membership: which entry hosts are alive, suspect, leaving or dead."""

from ._membership import Membership
from ._readers import READERS_PER_ZONE, elect_readers
from ._records import (
    generate_incarnation,
    merge_records,
    record_from_wire,
    record_to_wire,
)

__all__ = [
    "READERS_PER_ZONE",
    "Membership",
    "elect_readers",
    "generate_incarnation",
    "merge_records",
    "record_from_wire",
    "record_to_wire",
]
