"""Generated Thrift types of the messages between entry hosts."""

from ._generated.peer import ttypes as peer_types

__all__ = ["peer_types"]
