"""Costs of membership, changes, replacements and losses against hosts."""

from math import log2
from statistics import fmean

from ._fit import Slope, fit_slope
from ._region import Region, RegionHost
from ._samples import ZONES
from ._sizes import Sizes

PATIENCE_SECONDS = 600.0
# Share of wrong entries in member lists that is left when "most" are right.
MOST_LEFT = 0.05
CHANGES = 3
# Time after an event in which its messages are counted.
WINDOW_SECONDS = 15.0
RACK_HOSTS = 40
RACK_SHARE = 7  # one host in this many, up to a rack
LOST_ZONE = ZONES[-1]

# Unit and size of each figure, by its name.
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


class RegionRun:
    """Takes one region through all events and notes their costs a host."""

    def __init__(self, hosts: int, targets: int, seconds: float):
        self.region = Region(hosts, targets)
        self.seconds = seconds
        self.figures: dict[str, float] = {}

    def run(self) -> dict[str, float]:
        """Return all figures."""
        self._settle()
        self._idle()
        self._change()
        self._change_list()
        self._replace()
        self._heal()
        self._lose("rack", self._rack())
        self._lose("zone", self._zone())
        return self.figures

    def _settle(self) -> None:
        """Wait until the gossip of the start has ended."""
        self.region.run_until(self._is_complete, PATIENCE_SECONDS)
        self.region.run(self.seconds)

    def _is_complete(self) -> bool:
        region = self.region
        are_ready = all(
            host.dissemination.ready_ and region.number in host.in_force_at
            for host in region.running
        )
        return are_ready and not _wrong_members(region.running)

    def _idle(self) -> None:
        region, seconds = self.region, self.seconds
        region.reset_usage()
        region.run(seconds)
        for verb in ("messages", "bytes", "cpu"):
            self.figures[f"membership_{verb}"] = self._used(verb) / seconds
        self.figures["platform_calls"] = region.platform.calls / seconds
        self.figures["platform_watches"] = region.platform.pending

    def _used(self, verb: str) -> float:
        return fmean(getattr(host.usage, verb) for host in self.region.running)

    def _extra(self, name: str, seconds: float, events: int = 1) -> None:
        """Note messages and bytes a host above those of a quiet time."""
        for verb in ("messages", "bytes"):
            quiet = self.figures[f"membership_{verb}"] * seconds
            self.figures[f"{name}_{verb}"] = max(0.0, self._used(verb) - quiet) / events

    def _change(self) -> None:
        """Publish changes; note the time until the last host has each."""
        region = self.region
        durations = []
        region.reset_usage()
        for _ in range(CHANGES):
            started, number = region.now, region.publish()
            region.run(WINDOW_SECONDS)
            region.run_until(lambda n=number: self._is_everywhere(n), PATIENCE_SECONDS)
            times = [host.in_force_at[number] for host in region.running]
            durations.append(max(times) - started)
        self.figures["change_seconds"] = max(durations)
        self._extra("change", CHANGES * WINDOW_SECONDS, CHANGES)
        quiet = self.figures["membership_cpu"] * CHANGES * WINDOW_SECONDS
        cpu = max(0.0, self._used("cpu") - quiet)
        self.figures["change_gossip_cpu"] = cpu / CHANGES

    def _change_list(self) -> None:
        """Publish host lists with one changed target."""
        region = self.region
        region.reset_usage()
        for _ in range(CHANGES):
            region.publish_host_list()
            region.run(WINDOW_SECONDS)
        self._extra("list", CHANGES * WINDOW_SECONDS, CHANGES)

    def _is_everywhere(self, number: int) -> bool:
        return all(number in host.in_force_at for host in self.region.running)

    def _replace(self) -> None:
        """Replace the last host by a new one without memory."""
        region = self.region
        region.reset_usage()
        region.stop([region.hosts[f"host-{region.size - 1:04d}"]])
        host = region.start(region.size - 1)
        seconds = region.run_until(lambda: host.dissemination.ready_, PATIENCE_SECONDS)
        self.figures["replace_fetch_seconds"] = seconds
        self.figures["replace_fetch_bytes"] = host.usage.received_bytes
        self.figures["replace_calls"] = region.platform.calls
        region.run(WINDOW_SECONDS)
        self._extra("replace", seconds + WINDOW_SECONDS)
        region.run_until(self._is_complete, PATIENCE_SECONDS)

    def _heal(self) -> None:
        """Cut a zone off, and count from the end of the partition."""
        region = self.region
        region.cut_zone = LOST_ZONE
        sides = ([], [])
        for host in region.running:
            sides[host.record.zone == LOST_ZONE].append(host)
        region.run_until(lambda: not any(map(_wrong_members, sides)), PATIENCE_SECONDS)
        region.cut_zone = ""
        self._count("heal")

    def _rack(self) -> list[RegionHost]:
        size = min(RACK_HOSTS, max(1, self.region.size // RACK_SHARE))
        return self.region.running[-size:]

    def _zone(self) -> list[RegionHost]:
        return [h for h in self.region.running if h.record.zone == LOST_ZONE]

    def _lose(self, name: str, lost: list[RegionHost]) -> None:
        """Kill hosts at once."""
        self.region.stop(lost)
        self._count(name)

    def _count(self, name: str) -> None:
        """Count until most, and then all, hosts know which others run."""
        region, started = self.region, self.region.now
        region.reset_usage()
        few = MOST_LEFT * _wrong_members(region.running)
        for figure, bound in ((f"{name}_most_seconds", few), (f"{name}_seconds", 0)):
            region.run_until(
                lambda bound=bound: _wrong_members(region.running) <= bound,
                PATIENCE_SECONDS,
            )
            self.figures[figure] = region.now - started
        self._extra(name, region.now - started)


def _wrong_members(hosts: list[RegionHost]) -> int:
    host_ids = {host.record.host_id for host in hosts}
    return sum(host.wrong_members(host_ids) for host in hosts)


def measure(sizes: Sizes) -> list[Slope]:
    """Return the slopes against hosts of a region."""
    runs = []
    for hosts in sizes.hosts:
        run = RegionRun(hosts, sizes.context_targets, sizes.region_seconds)
        runs.append((hosts, run.run()))
    slopes = [
        fit_slope(name, "hosts", unit, [(n, figures[name]) for n, figures in runs])
        for name, unit in _UNITS_BY_NAME.items()
    ]
    # Gossip reaches twice the hosts with each round, so its time is fitted
    # against the logarithm.
    seconds = [(log2(n), figures["change_seconds"]) for n, figures in runs]
    # The peers share the service of a new host's state among them.
    shares = [(1 / n, figures["replace_bytes"]) for n, figures in runs]
    return [
        *slopes,
        fit_slope("change_seconds", "log2 of hosts", "s", seconds),
        fit_slope("replace_bytes", "1 / hosts", "B", shares),
    ]
