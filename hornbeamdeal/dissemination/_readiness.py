"""Rule for when a new host is ready to serve."""

from hornbeamdeal.kernel import Version

from ._order import NO_VERSION, is_newer
from ._topic import Topic

# After this time the answer of the platform alone or of one peer alone suffices.
SINGLE_SOURCE_WAIT_SECONDS = 3.0
# A known version that nobody supplies delays readiness no longer than this.
MAXIMUM_WAIT_SECONDS = 10.0


class TopicReadiness:
    """Answers that a new host received for one topic."""

    __slots__ = ("greatest_known", "peer_answered", "platform_answered", "started")

    def __init__(self, now: float):
        self.started = now
        self.greatest_known: Version = NO_VERSION
        self.peer_answered = False
        self.platform_answered = False

    def record_peer_version(self, version: Version) -> None:
        """Record the version that a peer reported."""
        self.peer_answered = True
        self.greatest_known = max(self.greatest_known, version)

    def record_platform_version(self, version: Version) -> None:
        """Record the version that the platform reported."""
        self.platform_answered = True
        self.greatest_known = max(self.greatest_known, version)

    def is_ready(self, topic: Topic, now: float) -> bool:
        """Return whether a version is in force and no newer one is still awaited.

        Enough sources must have answered. A rejected version or the time limit also
        ends the wait.
        """
        waited = now - self.started
        if topic.in_force is None:
            return False
        if not self._has_answers(waited):
            return False
        is_behind = is_newer(self.greatest_known, topic.in_force)
        if self.greatest_known in topic.rejected or waited >= MAXIMUM_WAIT_SECONDS:
            is_behind = False
        return not is_behind

    def _has_answers(self, waited: float) -> bool:
        if self.platform_answered and self.peer_answered:
            return True
        any_answered = self.platform_answered or self.peer_answered
        return any_answered and waited >= SINGLE_SOURCE_WAIT_SECONDS
