"""Contract of the store that publishes routes and servers."""

from typing import Protocol

from hornbeamdeal.kernel import HornbeamdealError

from ._records import Update


class SourceError(HornbeamdealError):
    """A read of the store gave nothing to use.

    `reason` is one of `compacted` (the history after the revision is gone, so
    everything must be read), `throttled`, `unavailable`, `missing`, `refused`,
    `lost` and `garbled`.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str, text: str):
        self.reason = reason
        super().__init__(text)


class Source(Protocol):
    """Reads the store that publishes routes and servers."""

    async def load(self, may_be_stale: bool) -> Update:
        """Read everything; raise SourceError where that fails."""

    async def watch(self, after_revision: int, wait_seconds: float) -> Update:
        """Wait for changes after a revision; raise SourceError where that fails."""
