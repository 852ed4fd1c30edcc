"""Recent work of callers and the fair share of each."""

from collections import Counter

# Callers' work is counted over two windows, so over the last 2.5 to 5 s.
WINDOW_SECONDS = 2.5
# Callers counted in one window of one priority. Later ones count as light callers.
MAXIMUM_CALLERS = 1024


class Window:
    """Openings and answers by caller within one window of time."""

    __slots__ = ("answers", "openings")

    def __init__(self):
        self.answers: dict[int, int] = {}
        self.openings: dict[int, int] = {}


class CallerWork:
    """Recent work of the callers of one priority, and each one's fair share.

    The work of a caller is the larger of its openings and answers, since an opening may
    be refused, have one answer or bring a long-lived flow with many. An opening that
    follows a refusal of the same caller repeats one that was counted before.
    """

    __slots__ = ("allowance", "_current", "_previous", "_refused", "_rotated_at")

    def __init__(self, now: float):
        # Work up to which a caller is not refused, None if it is not known yet.
        self.allowance: float | None = None
        self._current = Window()
        self._previous = Window()
        self._refused: dict[int, int] = {}
        self._rotated_at = now

    def count(self, caller: int) -> int:
        """Return the recent work of a caller."""
        current, previous = self._current, self._previous
        return max(
            current.openings.get(caller, 0) + previous.openings.get(caller, 0),
            current.answers.get(caller, 0) + previous.answers.get(caller, 0),
        )

    def add_answer(self, caller: int) -> None:
        """Count an answer to a caller."""
        _increment(self._current.answers, caller)

    def add_opening(self, caller: int) -> bool:
        """Count an opening; return False if it repeats a refused one."""
        refused = self._refused.get(caller, 0)
        if not refused:
            _increment(self._current.openings, caller)
            return True
        if refused == 1:
            del self._refused[caller]
        else:
            self._refused[caller] = refused - 1
        return False

    def add_refusal(self, caller: int) -> None:
        """Record that a caller was refused and may come back."""
        _increment(self._refused, caller)

    def refresh(self, refused_share: float, now: float) -> None:
        """Rotate the windows and compute the allowance for a share to be refused.

        The allowance is max-min fair: the work beyond it, summed over all callers, is the
        share of all work that is to be refused.
        """
        if now - self._rotated_at >= WINDOW_SECONDS:
            is_recent = now - self._rotated_at < 2 * WINDOW_SECONDS
            self._previous = self._current if is_recent else Window()
            self._current, self._refused = Window(), {}
            self._rotated_at = now
        callers = set().union(
            *(w.openings for w in (self._current, self._previous)),
            *(w.answers for w in (self._current, self._previous)),
        )
        callers_by_work = Counter(map(self.count, callers))
        kept = (1.0 - refused_share) * sum(w * n for w, n in callers_by_work.items())
        remaining = len(callers)
        self.allowance = None
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


def _increment(counts: dict[int, int], caller: int) -> None:
    if caller in counts or len(counts) < MAXIMUM_CALLERS:
        counts[caller] = counts.get(caller, 0) + 1
