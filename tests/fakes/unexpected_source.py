"""A store whose answers raise an error that no check foresaw."""


class UnexpectedSource:
    """Raises the error for the first reads, then returns an update."""

    def __init__(self, update=None, errors=1_000):
        self.update = update
        self.errors = errors

    async def load(self, may_be_stale, after_page=None):
        """Return the update, or raise the error."""
        return self._answer()

    async def watch(self, after_revision, wait_seconds):
        """Return the update, or raise the error."""
        return self._answer()

    def _answer(self):
        self.errors -= 1
        if self.errors >= 0:
            raise ZeroDivisionError("unforeseen")
        return self.update
