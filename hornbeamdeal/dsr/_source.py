"""Interface of the store that publishes routes and servers."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from hornbeamdeal.kernel import HornbeamdealError

from ._records import Update


class SourceError(HornbeamdealError):
    """Raised when a read of the store fails or its answer is unusable.

    `reason` is one of `compacted` (the history after the revision is gone, so that a
    full read is needed), `restored` (the answer is of another epoch than expected),
    `oversized` (a watch has more changes than a host may hold at once; these three need a
    full read), `throttled`, `unavailable`, `missing`, `refused`, `lost`, `garbled`,
    `superseded` (the read is no longer needed) and `unexpected`.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str, text: str):
        self.reason = reason
        super().__init__(text)


# Awaited between two pages of a full read; an error that it raises ends the read.
AfterPage = Callable[[], Awaitable[None]]


class Source(Protocol):
    """Reads the store that publishes routes and servers."""

    async def load(
        self, may_be_stale: bool, after_page: AfterPage | None = None
    ) -> Update:
        """Return a full copy; raise SourceError if the read fails.

        Other reads may be made in `after_page`.
        """

    async def watch(self, after_revision: int, wait_seconds: float) -> Update:
        """Return changes after a revision, waiting for some up to `wait_seconds`.

        The update's epoch is that of the answer; the revision may be of another one.
        Raise SourceError if the read fails.
        """

    async def watch_configuration(self, after_revision: int) -> Update:
        """Return the changes of routes and evacuations after a revision, without waiting.

        The update stays at that revision, since it tells nothing of servers. Raise
        SourceError if the read fails.
        """
