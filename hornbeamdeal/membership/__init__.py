"""Which entry hosts of the region are alive, suspect, leaving or dead."""

from ._membership import Membership
from ._readers import READERS_PER_ZONE, elect_readers
from ._records import draw_incarnation, from_wire, merge_records, to_wire

__all__ = [
    "READERS_PER_ZONE",
    "Membership",
    "draw_incarnation",
    "elect_readers",
    "from_wire",
    "merge_records",
    "to_wire",
]
