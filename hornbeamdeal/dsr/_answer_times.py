"""Recent answer times of services by zone, relative to the routes' objectives."""

from bisect import bisect_left
from collections.abc import Callable

from ._arrival_bound import ArrivalBound
from ._records import Route, Server

# A host sees about 10 answers a second, so about 7 count. Longer half-lives keep the
# shedding on for more than 5 s after the load has fallen.
HALF_LIFE_SECONDS = 0.5
# Decayed count of samples below which there is no estimate.
MINIMUM_SAMPLES = 4.0
# At least this many samples lie beyond the estimate, so that it never is that of a
# single slow answer.
MINIMUM_SAMPLES_BEYOND = 1.0
# An estimate without a sample for this long is dropped, as after a pause of the host.
MAXIMUM_AGE_SECONDS = 10.0
QUANTILE = 0.9
# Upper bounds of the buckets, as multiples of the latency objective.
BUCKET_BOUNDS = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.25, 1.5, 2.0, 4.0)
# Weights grow with time (forward decay) and are scaled down after this many half-lives.
RESCALE_HALF_LIVES = 50.0
# Failures count while those of another server are at most this old: one server that
# fails alone is no overload, and its health keeps new flows from it.
FAILURE_MEMORY_SECONDS = 5.0


class DecayingHistogram:
    """Fixed-bucket histogram whose samples lose weight exponentially.

    Samples get a weight that grows with time instead, so that recording is O(1)
    (forward decay; Cormode, Shkapenyuk, Srivastava, Xu 2009).
    """

    __slots__ = ("half_life", "recorded_at", "_landmark", "_weights")

    def __init__(self, half_life: float, now: float):
        self.half_life = half_life
        self.recorded_at = now
        self._landmark = now
        self._weights = [0.0] * (len(BUCKET_BOUNDS) + 1)

    def record(self, ratio: float, now: float) -> None:
        """Record one sample."""
        if now - self.recorded_at > MAXIMUM_AGE_SECONDS:
            self.__init__(self.half_life, now)
        half_lives = (now - self._landmark) / self.half_life
        if half_lives > RESCALE_HALF_LIVES:
            scale = 2.0**-half_lives
            self._weights = [weight * scale for weight in self._weights]
            self._landmark, half_lives = now, 0.0
        self._weights[bisect_left(BUCKET_BOUNDS, ratio)] += 2.0**half_lives
        self.recorded_at = now

    def weights(self, now: float) -> list[float] | None:
        """Return the buckets' weights at a time, None if all samples are too old."""
        if now - self.recorded_at > MAXIMUM_AGE_SECONDS:
            return None
        scale = 2.0 ** ((self._landmark - now) / self.half_life)
        return [weight * scale for weight in self._weights]


class AnswerTimes:
    """Estimates the 90th percentile of answer times by service and zone.

    Times are multiples of the route's latency objective. Routes without an objective
    are not counted. A request without an answer counts as far beyond the objective,
    unless its server fails alone or is out: servers that fail are a matter of server
    health, not of overload.

    Parameters
    ----------
    arrivals : ArrivalBound or None
        Says since when this host has kept up with its packets. Waits that began before
        are not counted, since they include a pause of the host.
    is_out : callable or None
        Returns whether a server, given by its identifier, is out of rotation.
    half_life : float
        Seconds in which a sample loses half of its weight.
    minimum_samples : float
        Decayed count of samples below which there is no estimate.
    minimum_beyond : float
        Decayed count of samples that lie beyond an estimate at least. A count of 1 keeps
        a single slow answer from being the estimate.
    """

    __slots__ = (
        "arrivals",
        "half_life",
        "is_out",
        "minimum_beyond",
        "minimum_samples",
        "_histograms",
        "_last_failures",
    )

    def __init__(
        self,
        *,
        arrivals: ArrivalBound | None = None,
        is_out: Callable[[str], bool] | None = None,
        half_life: float = HALF_LIFE_SECONDS,
        minimum_samples: float = MINIMUM_SAMPLES,
        minimum_beyond: float = MINIMUM_SAMPLES_BEYOND,
    ):
        self.half_life = half_life
        self.minimum_samples = minimum_samples
        self.minimum_beyond = minimum_beyond
        self.arrivals = arrivals
        self.is_out = is_out
        self._histograms: dict[str, dict[str, DecayingHistogram]] = {}
        # The two servers of each service that failed last, with the time.
        self._last_failures: dict[str, list[tuple[str, float]]] = {}

    def record_answer(
        self, route: Route, server: Server, seconds: float, now: float
    ) -> None:
        """Record the seconds from a request's first packet to its answer."""
        if route.aim_seconds <= 0.0:
            return
        if self.arrivals is not None and now - seconds < self.arrivals.resumed_at:
            return
        self._record(server, seconds / route.aim_seconds, now)

    def record_failure(self, route: Route, server: Server, now: float) -> None:
        """Record a request that got no answer."""
        if route.aim_seconds <= 0.0:
            return
        if self.is_out is not None and self.is_out(server.server_id):
            return
        others = [
            (server_id, at)
            for server_id, at in self._last_failures.get(server.service, ())
            if server_id != server.server_id and now - at < FAILURE_MEMORY_SECONDS
        ]
        self._last_failures[server.service] = [*others[-1:], (server.server_id, now)]
        if others:
            self._record(server, float("inf"), now)

    def estimate(
        self, service: str, now: float, zone: str | None = None
    ) -> float | None:
        """Return the 90th percentile of a service, of one zone's or of all servers.

        Return None if there are too few recent samples.
        """
        histograms = self._histograms.get(service, {})
        zones = histograms if zone is None else [zone] if zone in histograms else []
        found = [w for z in zones if (w := histograms[z].weights(now)) is not None]
        if not found:
            return None
        weights = (
            found[0] if len(found) == 1 else [sum(w) for w in zip(*found, strict=True)]
        )
        total = sum(weights)
        if total < self.minimum_samples:
            return None
        beyond = max((1.0 - QUANTILE) * total, self.minimum_beyond)
        return _value_below(weights, beyond)

    def discard_old(self, now: float) -> None:
        """Drop the estimates without recent samples, as of services that are gone."""
        for service, histograms in list(self._histograms.items()):
            for zone, histogram in list(histograms.items()):
                if now - histogram.recorded_at > MAXIMUM_AGE_SECONDS:
                    del histograms[zone]
            if not histograms:
                del self._histograms[service]
                self._last_failures.pop(service, None)

    def _record(self, server: Server, ratio: float, now: float) -> None:
        histograms = self._histograms.get(server.service)
        if histograms is None:
            self.discard_old(now)
            histograms = self._histograms[server.service] = {}
        histogram = histograms.get(server.zone)
        if histogram is None:
            histogram = histograms[server.zone] = DecayingHistogram(self.half_life, now)
        histogram.record(ratio, now)


def _value_below(weights: list[float], beyond: float) -> float:
    """Return the value with samples of a total weight beyond it.

    It is interpolated within its bucket.
    """
    for index in range(len(weights) - 1, -1, -1):
        if beyond < weights[index]:
            if index == len(BUCKET_BOUNDS):
                return 2.0 * BUCKET_BOUNDS[-1]
            low = BUCKET_BOUNDS[index - 1] if index else 0.0
            share = beyond / weights[index]
            return BUCKET_BOUNDS[index] - share * (BUCKET_BOUNDS[index] - low)
        beyond -= weights[index]
    return 0.0
