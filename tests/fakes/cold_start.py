"""Cold time of a fake server, with the bound of opening packets that it may get."""

# `cold_per_s` 0 and `cold_slack` 5 of the example.
COLD_OVERAGE, COLD_SLACK = 1.5, 5
COLD_START_SECONDS = 3.0


class ColdStart:
    """Cold time of one server, and its latest opening packets."""

    def __init__(self):
        self.until = 0.0
        self.openings = []

    def begin(self, seconds, now):
        """Start the cold time as the server writes its entry."""
        self.until, self.openings = now + seconds, []

    def remaining_ms(self, now):
        """Return the remaining cold time."""
        return round(1000 * max(0.0, self.until - now))

    def exceeds_bound(self, now):
        """Record an opening packet; return whether it exceeds the bound."""
        if now >= self.until:
            return False
        self.openings = [at for at in self.openings if now - at < 1.0] + [now]
        return len(self.openings) > COLD_SLACK
