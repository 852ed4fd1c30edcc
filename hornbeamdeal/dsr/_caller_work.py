"""Recent work of callers and the fair share of each."""

from collections import Counter

# Callers' work is counted over two windows, so over the last 2.5 to 5 s.
WINDOW_SECONDS = 2.5
# Callers counted in one window of one priority. Later ones count as light callers.
MAXIMUM_CALLERS = 1024


class CallerWork:
    """Recent work of the callers of one priority, and each one's fair share.

    Work is openings and answers. An opening that follows a refusal of the same caller
    repeats a request that was counted before.
    """

    __slots__ = ("allowance", "_current", "_previous", "_refused", "_rotated_at")

    def __init__(self, now: float):
        # Work up to which a caller is not refused; None if nothing is refused.
        self.allowance: float | None = None
        self._current: dict[int, int] = {}
        self._previous: dict[int, int] = {}
        self._refused: dict[int, int] = {}
        self._rotated_at = now

    def count(self, caller: int) -> int:
        """Return the recent work of a caller."""
        return self._current.get(caller, 0) + self._previous.get(caller, 0)

    def add(self, caller: int) -> None:
        """Count one answer or opening of a caller."""
        current = self._current
        if caller in current or len(current) < MAXIMUM_CALLERS:
            current[caller] = current.get(caller, 0) + 1

    def add_opening(self, caller: int) -> bool:
        """Count an opening; return False if it repeats a refused one."""
        refused = self._refused.get(caller, 0)
        if not refused:
            self.add(caller)
            return True
        if refused == 1:
            del self._refused[caller]
        else:
            self._refused[caller] = refused - 1
        return False

    def add_refusal(self, caller: int) -> None:
        """Record that a caller was refused and may come back."""
        if caller in self._refused or len(self._refused) < MAXIMUM_CALLERS:
            self._refused[caller] = self._refused.get(caller, 0) + 1

    def refresh(self, refused_share: float, now: float) -> None:
        """Rotate the windows and compute the allowance for a share to be refused.

        The allowance is max-min fair: the work beyond it, summed over all callers, is the
        share of all work that is to be refused.
        """
        if now - self._rotated_at >= WINDOW_SECONDS:
            is_recent = now - self._rotated_at < 2 * WINDOW_SECONDS
            self._previous = self._current if is_recent else {}
            self._current, self._refused = {}, {}
            self._rotated_at = now
        callers = self._current.keys() | self._previous.keys()
        callers_by_work = Counter(map(self.count, callers))
        kept = (1.0 - refused_share) * sum(w * n for w, n in callers_by_work.items())
        remaining = len(callers)
        self.allowance = 0.0
        for work, number in sorted(callers_by_work.items()):
            self.allowance = kept / remaining
            if self.allowance <= work:
                break
            kept -= work * number
            remaining -= number

    def refusal_probability(self, caller: int, refused_share: float) -> float:
        """Return the probability with which an opening of a caller is refused."""
        if self.allowance is None:
            return refused_share
        # A caller that is not counted is a light one.
        return max(0.0, 1.0 - self.allowance / max(self.count(caller), 1))
