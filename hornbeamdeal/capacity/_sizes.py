"""Sizes at which costs are measured."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Sizes:
    """Sizes for each kind of cost, at least three for a fit.

    `fixed_targets` and `fixed_hosts` apply to measurements that vary another size.
    `region_seconds` is the simulated time for which an idle region is measured.
    """

    packets: tuple[int, ...]
    requests: tuple[int, ...]
    payloads: tuple[int, ...]
    targets: tuple[int, ...]
    fixed_targets: int
    fixed_hosts: int
    records: tuple[int, ...]
    hosts: tuple[int, ...]
    region_targets: tuple[int, ...]
    region_seconds: float


FULL = Sizes(
    # Each packet has its own caller, so almost no PROXY header comes from the cache.
    # The cost is an upper bound for a host with 8,000 flows.
    packets=(5000, 10_000, 15_000, 20_000),
    requests=(500, 1000, 2000, 4000),
    payloads=(16, 256, 512, 1024),
    targets=(960, 3840, 7680, 15_040),
    fixed_targets=15_040,
    fixed_hosts=286,
    records=(1 << 14, 1 << 16, 1 << 18),
    hosts=(7, 36, 111, 286),
    region_targets=(960, 3840, 7680),
    region_seconds=60.0,
)
# For a test that the measurements run; too small for useful figures.
QUICK = Sizes(
    packets=(20, 40, 80),
    requests=(10, 20, 40),
    payloads=(16, 64, 256),
    targets=(112, 224, 448),
    fixed_targets=112,
    fixed_hosts=5,
    records=(64, 128, 256),
    hosts=(3, 4, 6),
    region_targets=(112, 224, 448),
    region_seconds=4.0,
)
