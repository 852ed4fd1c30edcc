"""Measures platform calls and time until ready after restarts in a region.

Run `python -m benchmarks.fleet_restart`. Calls are scaled to all regions, as if
each restarted like the measured one at the same time.
"""

import argparse
import json

from benchmarks.fleet import settled_fleet

REGIONS = 7
STEP_SECONDS = 0.1
TIMEOUT_SECONDS = 30


def measure(size: int, share: float, random_state: int) -> dict:
    """Restart a share of the hosts; return peak calls and times until ready."""
    fleet = settled_fleet(size, random_state)
    fleet.platform.calls.clear()
    started = fleet.now
    new = [fleet.start(index) for index in range(max(1, round(size * share)))]
    calls = [0]
    ready_after = []
    while len(ready_after) < len(new) and fleet.now - started < TIMEOUT_SECONDS:
        fleet.run(STEP_SECONDS)
        calls.append(sum(fleet.platform.calls.values()))
        ready_count = sum(host.dissemination.ready_ for host in new)
        ready_after += [fleet.now - started] * (ready_count - len(ready_after))
    steps_per_second = round(1 / STEP_SECONDS)
    calls_in_last_second = [
        b - a for a, b in zip([0] * (steps_per_second - 1) + calls, calls, strict=False)
    ]
    return {
        "hosts": size,
        "restarted": len(new),
        "peak_calls_per_second": max(calls_in_last_second) * REGIONS,
        "ready_median_s": ready_after[len(ready_after) // 2] if ready_after else None,
        "ready_last_s": ready_after[-1] if len(ready_after) == len(new) else None,
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
