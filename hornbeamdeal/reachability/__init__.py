"""Passive health checks: detection of servers that do not answer opening packets."""

from ._exclusion import excluded_ids
from ._reachability import Reachability

__all__ = ["Reachability", "excluded_ids"]
