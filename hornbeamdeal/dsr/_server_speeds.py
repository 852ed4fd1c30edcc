"""Estimates how slow each server is, relative to the others of its service and zone."""

import math
from collections.abc import Iterable, Iterator
from typing import Any

from ._base import Journal
from ._records import Route, Server

# Slowness within this band counts as 1, so that alike servers are treated alike.
DEAD_BAND_MINIMUM = 2 / 3
DEAD_BAND_MAXIMUM = 1.5
# Bounds of the estimate. A server that fails fast looks fast to a host, which can't read
# answers; the lower bound limits the load that it attracts to twice its share.
MINIMUM_SLOWNESS = 0.5
MAXIMUM_SLOWNESS = 10.0
# A server is judged by at least 4 samples, which may have decayed a little. One that has
# been judged stays so down to the lower number, since a slow server gets fewer requests.
MINIMUM_SAMPLES = 3.5
REMAINING_SAMPLES = 1.5
# Samples of a server count for this many at most, which limits how long many old samples
# outweigh the first new ones after its speed has changed.
MAXIMUM_SAMPLES = 8.0
# With 5 s, 24 hosts that see 0.35 answers of a server in a second judged few servers.
HALF_LIFE_SECONDS = 10.0
# A server without a sample for this long is forgotten and counts as 1. With the interval
# between two estimates this is below the 10 s within which a server is to be tried again.
RETENTION_SECONDS = 9.0
# Interval between two estimates, which each compare all servers with samples.
ESTIMATE_INTERVAL_SECONDS = 0.5
# A sample differs from its server's mean by at most this factor, or its cube if the one
# before was as far off. A few requests take 7 times as long as others, which says nothing
# about their server, but two in a row are rare.
MAXIMUM_STEP = 2.0
REPEATED_STEP_EXPONENT = 3
# The mean of a route is that of about so many recent answers. Ratios to the mean count
# once it has the minimum number of answers.
ROUTE_MEAN_ANSWERS = 64
ROUTE_MINIMUM_ANSWERS = 8
# Routes without an answer for this long are forgotten.
ROUTE_RETENTION_SECONDS = 60.0
# A server whose own samples have decayed below this isn't compared with others.
MINIMUM_COMPARED_SAMPLES = 1.0
# The time on the way is subtracted from an answer time down to this share of it. Of 37 ms
# that a host measures, 8 ms are on the way to the server, to the caller and back, which
# would move a server of slowness 1.67 to 1.5, into the dead band.
MINIMUM_SERVICE_SHARE = 0.25
# Shortest time that counts; clocks may return the same time twice.
MINIMUM_ANSWER_SECONDS = 1e-5

_LOG_MINIMUM = math.log(MINIMUM_SLOWNESS)
_LOG_MAXIMUM = math.log(MAXIMUM_SLOWNESS)
_LOG_STEP = math.log(MAXIMUM_STEP)
_LOG_DEAD_BAND_MINIMUM = math.log(DEAD_BAND_MINIMUM)
_LOG_DEAD_BAND_MAXIMUM = math.log(DEAD_BAND_MAXIMUM)


class _RouteMean:
    """Mean logarithm of a route's recent times.

    Answer times are those of a server of slowness 1.
    """

    __slots__ = ("answers", "at", "log_mean")

    def __init__(self, log_seconds: float):
        self.answers = 0
        self.at = 0.0
        self.log_mean = log_seconds

    @property
    def seconds(self) -> float:
        """Return the geometric mean."""
        return math.exp(self.log_mean)

    def add(self, log_seconds: float, now: float) -> None:
        """Add a time, a far one as if it were nearer."""
        step = min(max(log_seconds - self.log_mean, -_LOG_STEP), _LOG_STEP)
        self.answers = min(self.answers + 1, ROUTE_MEAN_ANSWERS)
        self.at = now
        self.log_mean += step / self.answers


class _Samples:
    """Decaying number of samples and sum of the logarithms of their ratios."""

    __slots__ = ("at", "count", "log_sum")

    def __init__(self):
        self.at = float("-inf")
        self.count = 0.0
        self.log_sum = 0.0

    @property
    def log_mean(self) -> float:
        """Return the mean logarithm, 0 without samples."""
        return self.log_sum / self.count if self.count else 0.0

    def add(self, count: float, log_ratio: float, now: float) -> None:
        """Add samples of one ratio."""
        self.at = now
        self.count += count
        self.log_sum += count * log_ratio

    def scale(self, factor: float) -> None:
        """Multiply the weight of all samples."""
        self.count *= factor
        self.log_sum *= factor


class _Record:
    """Samples of one server.

    `own` are this host's, `peers` those that peers sent, `unsent` this host's that peers
    have not received. Peers' ratios are relative to the median server, this host's are
    not. `log_slowness` is the latest estimate. `last_far_step` is the difference of the
    latest own sample from the mean if it was limited, else 0.
    """

    __slots__ = (
        "decayed_at",
        "group",
        "last_far_step",
        "log_slowness",
        "own",
        "peers",
        "unsent",
    )

    def __init__(self, server: Server, now: float):
        self.group = (server.service, server.zone)
        self.decayed_at = now
        self.last_far_step = 0.0
        self.log_slowness = 0.0
        self.own = _Samples()
        self.peers = _Samples()
        self.unsent = _Samples()

    @property
    def sampled_at(self) -> float:
        """Return the monotonic time of the latest sample."""
        return max(self.own.at, self.peers.at)

    def decay(self, now: float) -> None:
        """Reduce the weights of all samples by the time that has passed."""
        factor = math.exp2((self.decayed_at - now) / HALF_LIFE_SECONDS)
        self.decayed_at = now
        for samples in (self.own, self.peers, self.unsent):
            if samples.count:
                samples.scale(factor)

    def limit(self) -> None:
        """Keep the weight of all samples within its bound."""
        total = self.own.count + self.peers.count
        if total > MAXIMUM_SAMPLES:
            self.own.scale(MAXIMUM_SAMPLES / total)
            self.peers.scale(MAXIMUM_SAMPLES / total)

    def limit_step(self, log_ratio: float) -> float:
        """Return an own sample's logarithm, brought nearer to the mean if it is far."""
        mean = self.own.log_mean
        step = log_ratio - mean
        limit = _LOG_STEP
        if abs(step) > limit:
            is_repeated = self.last_far_step * step > 0
            self.last_far_step = step
            limit *= REPEATED_STEP_EXPONENT if is_repeated else 1
        else:
            self.last_far_step = 0.0
        return mean + min(max(step, -limit), limit)

    def estimate(self, log_median: float) -> float:
        """Return the logarithm of the slowness relative to the median server."""
        total = self.own.count + self.peers.count
        is_judged = self.log_slowness != 0.0
        if total < (REMAINING_SAMPLES if is_judged else MINIMUM_SAMPLES):
            return 0.0
        own_log_sum = self.own.log_sum - self.own.count * log_median
        mean = (own_log_sum + self.peers.log_sum) / total
        return min(max(mean, _LOG_MINIMUM), _LOG_MAXIMUM)


class ServerSpeeds:
    """Estimates the slowness of servers from answer times; an `AnswerObserver`.

    A sample is the ratio of an answer time, less the mean time of the route's handshakes,
    to the mean of its route. The slowness of a server is the decayed geometric mean of its
    ratios, divided by that of the median server of its service and zone: then a zone that
    is slow as a whole, and an overload of all servers, make no server slower than the
    others. Route means are those of a median server, so that they don't depend on which
    servers a route uses most.

    Parameters
    ----------
    journal : Journal
        Receives log events and counters.
    """

    __slots__ = (
        "journal",
        "_estimated_at",
        "_handshakes_by_address",
        "_log_medians_by_group",
        "_means_by_address",
        "_records_by_id",
        "_slowness_by_id",
    )

    def __init__(self, *, journal: Journal):
        self.journal = journal
        self._estimated_at = float("-inf")
        self._log_medians_by_group: dict[tuple[str, str], float] = {}
        self._handshakes_by_address: dict[bytes, _RouteMean] = {}
        self._means_by_address: dict[bytes, _RouteMean] = {}
        self._records_by_id: dict[str, _Record] = {}
        self._slowness_by_id: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._records_by_id)

    def slowness_by_id(self, now: float) -> dict[str, float]:
        """Return the slowness of the servers outside the dead band."""
        if now - self._estimated_at >= ESTIMATE_INTERVAL_SECONDS:
            self._estimate(now)
        return self._slowness_by_id

    def record_answer(
        self, route: Route, server: Server, seconds: float, now: float
    ) -> None:
        """Record an answer time."""
        handshake = self._handshakes_by_address.get(route.address_key)
        if handshake is not None:
            service_seconds = seconds - handshake.seconds
            seconds = max(service_seconds, MINIMUM_SERVICE_SHARE * seconds)
        log_seconds = math.log(max(seconds, MINIMUM_ANSWER_SECONDS))
        mean = self._means_by_address.get(route.address_key)
        if mean is None:
            mean = self._means_by_address[route.address_key] = _RouteMean(log_seconds)
        record = self._records_by_id.get(server.server_id)
        log_slowness = record.log_slowness if record else 0.0
        mean.add(log_seconds - log_slowness, now)
        if mean.answers < ROUTE_MINIMUM_ANSWERS:
            return
        if record is None:
            record = self._record_of(server, now)
        log_ratio = log_seconds - mean.log_mean
        self._add(record, record.limit_step(log_ratio), now)

    def record_handshake(self, route: Route, seconds: float, now: float) -> None:
        """Record the time on the way from a host to a server, the caller and back."""
        log_seconds = math.log(max(seconds, MINIMUM_ANSWER_SECONDS))
        handshake = self._handshakes_by_address.get(route.address_key)
        if handshake is None:
            handshake = _RouteMean(log_seconds)
            self._handshakes_by_address[route.address_key] = handshake
        handshake.add(log_seconds, now)

    def record_failure(self, route: Route, server: Server, now: float) -> None:
        """Count a failed request like an answer that took the longest time.

        So a server that fails some requests and answers others fast attracts no load.
        """
        record = self._record_of(server, now)
        log_ratio = max(record.limit_step(_LOG_MAXIMUM), _LOG_STEP)
        self._add(record, log_ratio, now)

    def record_peer_samples(
        self, server: Server, count: int, ratio: float, now: float
    ) -> None:
        """Record samples of a peer by their mean ratio to the median server."""
        record = self._record_of(server, now)
        ratio = min(max(ratio, MINIMUM_SLOWNESS), MAXIMUM_SLOWNESS)
        record.decay(now)
        record.peers.add(min(count, MAXIMUM_SAMPLES), math.log(ratio), now)
        record.limit()

    def pop_unsent(self, limit: int, now: float) -> list[tuple[str, int, float]]:
        """Return and clear own samples that peers lack: server id, count, mean ratio.

        Only servers outside the dead band are considered, those with most samples first.
        """
        found = []
        for server_id in self.slowness_by_id(now):
            record = self._records_by_id[server_id]
            if record.unsent.count >= 0.5:
                found.append((record.unsent.count, server_id))
        found.sort(reverse=True)
        return [self._pop_unsent(server_id) for _, server_id in found[:limit]]

    def discard(self, server_id: str) -> None:
        """Discard the samples of a server that has left or started again."""
        self._records_by_id.pop(server_id, None)
        self._slowness_by_id.pop(server_id, None)

    def handle_server_changes(self, changes: Iterable[tuple[str, Server]]) -> None:
        """Discard the samples of removed servers and of those listed anew as cold."""
        for change, server in changes:
            if change == "removed" or (change == "listed" and server.cold_seconds > 0):
                self.discard(server.server_id)

    def describe(self, server_id: str, now: float) -> dict[str, Any]:
        """Return the estimate of a server for operators."""
        record = self._records_by_id.get(server_id)
        if record is None:
            return {"slowness": 1.0, "slowness_age_ms": -1, "slowness_source": "none"}
        has_own, has_peers = record.own.count >= 0.5, record.peers.count >= 0.5
        sources = [("own", has_own), ("peers", has_peers)]
        return {
            "slowness": round(self.slowness_by_id(now).get(server_id, 1.0), 2),
            "slowness_age_ms": round(1000 * (now - record.sampled_at)),
            "slowness_source": "+".join(n for n, has in sources if has) or "none",
        }

    def count_slow_and_fast(self, now: float) -> tuple[int, int]:
        """Return how many servers are slower and faster than the dead band."""
        found = self.slowness_by_id(now).values()
        slow = sum(slowness > 1 for slowness in found)
        return slow, len(found) - slow

    def _record_of(self, server: Server, now: float) -> _Record:
        record = self._records_by_id.get(server.server_id)
        if record is None:
            record = self._records_by_id[server.server_id] = _Record(server, now)
        return record

    def _add(self, record: _Record, log_ratio: float, now: float) -> None:
        record.decay(now)
        record.own.add(1.0, log_ratio, now)
        record.unsent.add(1.0, log_ratio, now)
        record.limit()

    def _pop_unsent(self, server_id: str) -> tuple[str, int, float]:
        record = self._records_by_id[server_id]
        log_median = self._log_medians_by_group.get(record.group, 0.0)
        ratio = math.exp(record.unsent.log_mean - log_median)
        count = max(1, round(record.unsent.count))
        record.unsent.scale(0.0)
        return server_id, count, ratio

    def _estimate(self, now: float) -> None:
        self._estimated_at = now
        self._forget(now)
        self._log_medians_by_group = self._find_medians(now)
        slowness_by_id = {}
        for server_id, record in self._records_by_id.items():
            log_median = self._log_medians_by_group.get(record.group, 0.0)
            log_slowness = record.log_slowness = record.estimate(log_median)
            if not _LOG_DEAD_BAND_MINIMUM <= log_slowness <= _LOG_DEAD_BAND_MAXIMUM:
                slowness_by_id[server_id] = math.exp(log_slowness)
        previous, self._slowness_by_id = self._slowness_by_id, slowness_by_id
        if previous or slowness_by_id:
            for server_id, state in _changes(previous, slowness_by_id):
                self._report_change(server_id, state, now)

    def _forget(self, now: float) -> None:
        for server_id, record in list(self._records_by_id.items()):
            if now - record.sampled_at >= RETENTION_SECONDS:
                del self._records_by_id[server_id]
        for means in (self._means_by_address, self._handshakes_by_address):
            for address_key, mean in list(means.items()):
                if now - mean.at >= ROUTE_RETENTION_SECONDS:
                    del means[address_key]

    def _find_medians(self, now: float) -> dict[tuple[str, str], float]:
        # Imported here, as loading it takes 3 ms of a core and would delay the start.
        from statistics import median

        log_means_by_group: dict[tuple[str, str], list[float]] = {}
        for record in self._records_by_id.values():
            record.decay(now)
            if record.own.count >= MINIMUM_COMPARED_SAMPLES:
                log_means_by_group.setdefault(record.group, []).append(
                    record.own.log_mean
                )
        return {group: median(means) for group, means in log_means_by_group.items()}

    def _report_change(self, server_id: str, state: str, now: float) -> None:
        self.journal.count("server_speed_changes", state)
        description = self.describe(server_id, now)
        self.journal.event(
            "server_speed_changed", server=server_id, state=state, **description
        )


def _changes(
    previous: dict[str, float], current: dict[str, float]
) -> Iterator[tuple[str, str]]:
    """Yield servers that are slow, fast or normal now and were not before."""
    for server_id, slowness in current.items():
        before = previous.get(server_id, 1.0)
        if slowness > 1 and before <= 1:
            yield server_id, "slow"
        elif slowness < 1 and before >= 1:
            yield server_id, "fast"
    for server_id in previous:
        if server_id not in current:
            yield server_id, "normal"
