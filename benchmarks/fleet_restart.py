"""Measures the platform's calls and the readiness after restarts of a region.

Run `python -m benchmarks.fleet_restart`. Calls are those of all regions if
each restarts like the measured one at the same moment.
"""

import argparse
import json

from benchmarks.fleet import settled_fleet

REGIONS = 7
STEP_SECONDS = 0.1
PATIENCE_SECONDS = 30


def measure(size: int, share: float, random_state: int) -> dict:
    """Restart a share of the hosts; return calls and times until ready."""
    fleet = settled_fleet(size, random_state)
    fleet.platform.calls.clear()
    started = fleet.now
    new = [fleet.start(index) for index in range(max(1, round(size * share)))]
    calls = [0]
    ready = []
    while len(ready) < len(new) and fleet.now - started < PATIENCE_SECONDS:
        fleet.run(STEP_SECONDS)
        calls.append(sum(fleet.platform.calls.values()))
        count = sum(host.dissemination.ready_ for host in new)
        ready += [fleet.now - started] * (count - len(ready))
    second = round(1 / STEP_SECONDS)
    windows = [b - a for a, b in zip([0] * (second - 1) + calls, calls, strict=False)]
    return {
        "hosts": size,
        "restarted": len(new),
        "peak_calls_per_second": max(windows) * REGIONS,
        "ready_median_s": ready[len(ready) // 2] if ready else None,
        "ready_last_s": ready[-1] if len(ready) == len(new) else None,
    }


def main() -> None:
    """Measure the restart of one host, of half of the region and of all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--size", type=int, default=286)
    parser.add_argument("--random-state", type=int, default=1)
    options = parser.parse_args()
    for share in (0.0, 0.5, 1.0):
        print(json.dumps(measure(options.size, share, options.random_state)))


if __name__ == "__main__":
    main()
