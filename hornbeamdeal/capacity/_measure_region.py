"""Measures costs of membership, changes, replacements and losses in a region."""

from math import log2
from statistics import fmean

from ._fit import Slope, fit_slope
from ._samples import ZONES
from ._simulated_region import SimulatedHost, SimulatedRegion
from ._sizes import Sizes

CONVERGENCE_TIMEOUT_SECONDS = 600.0
# Share of the wrong member entries that may remain when most hosts have converged.
TOLERATED_WRONG_SHARE = 0.05
CHANGE_COUNT = 3
# Time for which messages are counted after an event.
COUNTING_SECONDS = 15.0
# A rack holds a seventh of the region's hosts, at least 1 and at most 40.
MAXIMUM_RACK_HOSTS = 40
RACK_DIVISOR = 7
LOST_ZONE = ZONES[-1]

# Unit of each cost.
_UNITS_BY_NAME = {
    "membership_messages": "1/s",
    "membership_bytes": "B/s",
    "membership_cpu": "s/s",
    "platform_calls": "1/s",
    "platform_watches": "watches",
    "change_messages": "messages",
    "change_bytes": "B",
    "change_gossip_cpu": "s",
    "list_messages": "messages",
    "list_bytes": "B",
    "replace_messages": "messages",
    "replace_fetch_bytes": "B",
    "replace_fetch_seconds": "s",
    "replace_calls": "calls",
    "rack_messages": "messages",
    "rack_bytes": "B",
    "rack_most_seconds": "s",
    "rack_seconds": "s",
    "heal_messages": "messages",
    "heal_bytes": "B",
    "heal_most_seconds": "s",
    "heal_seconds": "s",
    "zone_messages": "messages",
    "zone_bytes": "B",
    "zone_most_seconds": "s",
    "zone_seconds": "s",
}


class RegionMeasurement:
    """Simulates all events in one region and records the mean costs of a host."""

    def __init__(self, hosts: int, targets: int, seconds: float):
        self.region = SimulatedRegion(hosts, targets)
        self.seconds = seconds
        self.costs_by_name: dict[str, float] = {}

    def run(self) -> dict[str, float]:
        """Simulate the events and return their costs by name."""
        self._wait_until_idle()
        self._measure_idle()
        self._measure_document_changes()
        self._measure_host_list_changes()
        self._measure_replacement()
        self._measure_healed_partition()
        self._measure_loss("rack", self._rack_hosts())
        self._measure_loss("zone", self._zone_hosts())
        return self.costs_by_name

    def _wait_until_idle(self) -> None:
        """Wait until the hosts have started and their gossip has ended."""
        self.region.run_until(self._has_converged, CONVERGENCE_TIMEOUT_SECONDS)
        self.region.run(self.seconds)

    def _has_converged(self) -> bool:
        region = self.region
        are_ready = all(
            host.dissemination.ready_
            and region.document_number in host.applied_at_by_number
            for host in region.running_hosts
        )
        return are_ready and not _count_wrong_members(region.running_hosts)

    def _measure_idle(self) -> None:
        region, seconds = self.region, self.seconds
        region.reset_usage()
        region.run(seconds)
        for resource in ("messages", "bytes", "cpu"):
            self.costs_by_name[f"membership_{resource}"] = (
                self._mean_usage(resource) / seconds
            )
        self.costs_by_name["platform_calls"] = region.platform.calls / seconds
        self.costs_by_name["platform_watches"] = region.platform.pending_watches

    def _mean_usage(self, resource: str) -> float:
        return fmean(
            getattr(host.usage, resource) for host in self.region.running_hosts
        )

    def _record_excess(self, name: str, seconds: float, events: int = 1) -> None:
        """Record messages and bytes of a host beyond those of an idle region."""
        for resource in ("messages", "bytes"):
            idle = self.costs_by_name[f"membership_{resource}"] * seconds
            self.costs_by_name[f"{name}_{resource}"] = (
                max(0.0, self._mean_usage(resource) - idle) / events
            )

    def _measure_document_changes(self) -> None:
        """Publish documents and record the time until all hosts have each in force."""
        region = self.region
        durations = []
        region.reset_usage()
        for _ in range(CHANGE_COUNT):
            started, number = region.now, region.publish_document()
            region.run(COUNTING_SECONDS)
            region.run_until(
                lambda n=number: self._is_in_force_everywhere(n),
                CONVERGENCE_TIMEOUT_SECONDS,
            )
            times = [host.applied_at_by_number[number] for host in region.running_hosts]
            durations.append(max(times) - started)
        self.costs_by_name["change_seconds"] = max(durations)
        self._record_excess("change", CHANGE_COUNT * COUNTING_SECONDS, CHANGE_COUNT)
        idle = self.costs_by_name["membership_cpu"] * CHANGE_COUNT * COUNTING_SECONDS
        cpu = max(0.0, self._mean_usage("cpu") - idle)
        self.costs_by_name["change_gossip_cpu"] = cpu / CHANGE_COUNT

    def _measure_host_list_changes(self) -> None:
        """Publish host lists with one changed target."""
        region = self.region
        region.reset_usage()
        for _ in range(CHANGE_COUNT):
            region.publish_host_list()
            region.run(COUNTING_SECONDS)
        self._record_excess("list", CHANGE_COUNT * COUNTING_SECONDS, CHANGE_COUNT)

    def _is_in_force_everywhere(self, number: int) -> bool:
        return all(
            number in host.applied_at_by_number for host in self.region.running_hosts
        )

    def _measure_replacement(self) -> None:
        """Replace the last host by one that starts without state."""
        region = self.region
        region.reset_usage()
        region.stop_hosts([region.hosts[f"host-{region.size - 1:04d}"]])
        host = region.start_host(region.size - 1)
        seconds = region.run_until(
            lambda: host.dissemination.ready_, CONVERGENCE_TIMEOUT_SECONDS
        )
        self.costs_by_name["replace_fetch_seconds"] = seconds
        self.costs_by_name["replace_fetch_bytes"] = host.usage.received_bytes
        self.costs_by_name["replace_calls"] = region.platform.calls
        region.run(COUNTING_SECONDS)
        self._record_excess("replace", seconds + COUNTING_SECONDS)
        region.run_until(self._has_converged, CONVERGENCE_TIMEOUT_SECONDS)

    def _measure_healed_partition(self) -> None:
        """Partition a zone and measure convergence after the partition ends."""
        region = self.region
        region.partitioned_zone = LOST_ZONE
        sides = ([], [])
        for host in region.running_hosts:
            sides[host.record.zone == LOST_ZONE].append(host)
        region.run_until(
            lambda: not any(map(_count_wrong_members, sides)),
            CONVERGENCE_TIMEOUT_SECONDS,
        )
        region.partitioned_zone = ""
        self._measure_convergence("heal")

    def _rack_hosts(self) -> list[SimulatedHost]:
        rack_size = min(MAXIMUM_RACK_HOSTS, max(1, self.region.size // RACK_DIVISOR))
        return self.region.running_hosts[-rack_size:]

    def _zone_hosts(self) -> list[SimulatedHost]:
        return [h for h in self.region.running_hosts if h.record.zone == LOST_ZONE]

    def _measure_loss(self, name: str, lost: list[SimulatedHost]) -> None:
        """Stop hosts at the same time and measure convergence."""
        self.region.stop_hosts(lost)
        self._measure_convergence(name)

    def _measure_convergence(self, name: str) -> None:
        """Record the time until most, and then all, member lists are right."""
        region, started = self.region, self.region.now
        region.reset_usage()
        tolerated = TOLERATED_WRONG_SHARE * _count_wrong_members(region.running_hosts)
        for cost_name, bound in (
            (f"{name}_most_seconds", tolerated),
            (f"{name}_seconds", 0),
        ):
            region.run_until(
                lambda bound=bound: _count_wrong_members(region.running_hosts) <= bound,
                CONVERGENCE_TIMEOUT_SECONDS,
            )
            self.costs_by_name[cost_name] = region.now - started
        self._record_excess(name, region.now - started)


def _count_wrong_members(hosts: list[SimulatedHost]) -> int:
    host_ids = {host.record.host_id for host in hosts}
    return sum(host.count_wrong_members(host_ids) for host in hosts)


def measure(sizes: Sizes) -> list[Slope]:
    """Measure costs that depend on the number of hosts in a region."""
    runs = []
    for hosts in sizes.hosts:
        run = RegionMeasurement(hosts, sizes.fixed_targets, sizes.region_seconds)
        runs.append((hosts, run.run()))
    slopes = [
        fit_slope(
            name, "hosts", unit, [(n, costs_by_name[name]) for n, costs_by_name in runs]
        )
        for name, unit in _UNITS_BY_NAME.items()
    ]
    # Each round of gossip doubles the number of hosts reached, so its time is
    # fitted against the logarithm.
    seconds = [(log2(n), costs_by_name["change_seconds"]) for n, costs_by_name in runs]
    # The peers of a new host share the work of sending it the state.
    replacement_bytes = [
        (1 / n, costs_by_name["replace_bytes"]) for n, costs_by_name in runs
    ]
    return [
        *slopes,
        fit_slope("change_seconds", "log2 of hosts", "s", seconds),
        fit_slope("replace_bytes", "1 / hosts", "B", replacement_bytes),
    ]
