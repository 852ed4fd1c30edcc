"""Rule that decides when a new host may serve."""

from hornbeamdeal.kernel import Version

from ._order import NO_VERSION, is_newer
from ._topic import Topic

# After this time the answers of either the platform or one peer suffice.
WAIT_SECONDS = 3.0
# A version that was named but that nobody supplies does not keep a host out
# of service for longer.
GIVE_UP_SECONDS = 10.0


class TopicReadiness:
    """Answers that a new host got for one topic."""

    __slots__ = ("greatest", "peer_answered", "platform_answered", "started")

    def __init__(self, now: float):
        self.started = now
        self.greatest: Version = NO_VERSION
        self.peer_answered = False
        self.platform_answered = False

    def note_peer(self, version: Version) -> None:
        """Take a peer's answer."""
        self.peer_answered = True
        self.greatest = max(self.greatest, version)

    def note_platform(self, version: Version) -> None:
        """Take the platform's answer."""
        self.platform_answered = True
        self.greatest = max(self.greatest, version)

    def is_ready(self, topic: Topic, now: float) -> bool:
        """Tell whether the greatest of enough answers is in force."""
        waited = now - self.started
        if topic.in_force is None:
            return False
        if not self._has_answers(waited):
            return False
        is_behind = is_newer(self.greatest, topic.in_force)
        if self.greatest in topic.rejected or waited >= GIVE_UP_SECONDS:
            is_behind = False
        return not is_behind

    def _has_answers(self, waited: float) -> bool:
        if self.platform_answered and self.peer_answered:
            return True
        any_answered = self.platform_answered or self.peer_answered
        return any_answered and waited >= WAIT_SECONDS
