"""Measures the users' three measures with real processes on loopback.

Service times are long enough that the cores of the machine are not the
bottleneck. Run as `python -m benchmarks.processes [--json] [--part NAME]`.
"""

import argparse
import json
import tempfile
from pathlib import Path

import trio

from demo._arequipa import RESERVAS_TARGETS, make_layout
from hornbeamdeal.load import FlowProfile, LoadRun, RequestProfile
from hornbeamdeal.standins.environment import LocalEnvironment

SLOTS = RESERVAS_TARGETS * 3
BOOKING_SECONDS = 0.2
UPLOAD_SECONDS = 50 * BOOKING_SECONDS
SURGE_LEVELS = (0.7, 1.0, 2.0, 5.0, 10.0, 0.7)
SURGE_STEP_SECONDS = 6.0
UTILISATION = 0.7
BLOCKING_SECONDS = 30.0
TIMEOUT_SECONDS = 30.0
GOODPUT_BOUND = 0.95
REFUSAL_BOUND_MS = 50.0
BLOCKING_BOUND = 1.5
BALANCE_BOUND = 1.10
FLOWS = 1400
WORK = (
    f"/bookings={BOOKING_SECONDS}s,/rides={BOOKING_SECONDS}s,/photos={UPLOAD_SECONDS}s"
)


def measure_surge(plugin: str) -> list[dict]:
    """Offer 0.7, 1, 2, 5, 10 and again 0.7 times the capacity; return one row each."""
    capacity = SLOTS / BOOKING_SECONDS
    rates = tuple(level * capacity for level in SURGE_LEVELS)
    profile = RequestProfile(
        "POST", "/bookings", rates, SURGE_STEP_SECONDS, TIMEOUT_SECONDS
    )
    load = LoadRun(random_state=21)
    with make_environment(admission=plugin) as environment:
        address = environment.address("reservas-requests")
        trio.run(load.run_requests, address, profile)
    phases = load.summary()["requests"]
    return [
        surge_row(plugin, level, phase)
        for level, phase in zip(SURGE_LEVELS, phases, strict=True)
    ]


def surge_row(plugin: str, level: float, phase: dict) -> dict:
    """Return the results of one step of the surge."""
    servable = min(level, 1.0) * SLOTS / BOOKING_SECONDS * SURGE_STEP_SECONDS
    refusals = phase["latency_ms"].get("SERVICE_UNAVAILABLE", {})
    answers = phase["latency_ms"].get("CONTENT", {})
    return {
        "admission": plugin,
        "level": level,
        "goodput": round(phase["answered"] / servable, 3),
        "answer_p99_ms": answers.get("p99"),
        "refusal_p99_ms": refusals.get("p99"),
        "codes": phase["codes"],
    }


def measure_blocking(plugin: str) -> dict:
    """Return bookings' p99 latency with and without uploads at equal utilisation."""
    rate = UTILISATION * SLOTS / BOOKING_SECONDS
    alone = run_blocking(plugin, rate, 0.0)
    mixed = run_blocking(plugin, rate / 2, UTILISATION * SLOTS / 2 / UPLOAD_SECONDS)
    p99_alone = alone[0]["latency_ms"]["CONTENT"]["p99"]
    p99_mixed = mixed[0]["latency_ms"]["CONTENT"]["p99"]
    uploads = mixed[1]
    return {
        "admission": plugin,
        "p99_alone_ms": p99_alone,
        "p99_with_uploads_ms": p99_mixed,
        "ratio": round(p99_mixed / p99_alone, 2),
        "bookings": [alone[0]["codes"], mixed[0]["codes"]],
        "uploads": uploads["codes"],
    }


def run_blocking(plugin: str, booking_rate: float, upload_rate: float) -> list[dict]:
    """Run bookings, and uploads if their rate is above 0; return a phase for each."""
    profiles = [
        RequestProfile(
            "POST", "/bookings", (booking_rate,), BLOCKING_SECONDS, TIMEOUT_SECONDS
        )
    ]
    if upload_rate:
        profiles.append(
            RequestProfile(
                "POST", "/photos", (upload_rate,), BLOCKING_SECONDS, 2 * TIMEOUT_SECONDS
            )
        )
    loads = [LoadRun(random_state=31 + index) for index in range(len(profiles))]

    async def run(address) -> None:
        async with trio.open_nursery() as nursery:
            for load, profile in zip(loads, profiles, strict=True):
                nursery.start_soon(load.run_requests, address, profile)

    with make_environment(admission=plugin) as environment:
        trio.run(run, environment.address("reservas-requests"))
    return [load.summary()["requests"][0] for load in loads]


def measure_balance(plugin: str) -> dict:
    """Return the imbalance of watched flows, 200 per server."""
    load = LoadRun(random_state=41)
    profile = FlowProfile("/map", FLOWS, 5.0)

    async def run(address) -> None:
        with trio.move_on_after(12.0):
            await load.run_flows(address, profile)

    with make_environment(steering=plugin) as environment:
        trio.run(run, environment.address("reservas-map"))
    return {"steering": plugin, **load.summary()["flows"]}


def make_environment(**flags: str) -> LocalEnvironment:
    """Return an environment of Arequipa whose host flags choose the plug-ins."""
    folder = Path(tempfile.mkdtemp(prefix="hornbeamdeal-"))
    return LocalEnvironment(layout=make_layout(WORK, **flags), folder=folder)


def missed_bounds(result: dict) -> list[str]:
    """Return the names of the bounds that slot_shares and tracked miss."""
    names = []
    for row in result.get("crest", []):
        if row["admission"] != "slot_shares":
            continue
        if row["level"] >= 1 and row["goodput"] < GOODPUT_BOUND:
            names.append(f"goodput at level {row['level']:g}")
        if (row["refusal_p99_ms"] or 0) > REFUSAL_BOUND_MS:
            names.append(f"refusals at level {row['level']:g}")
    for row in result.get("blocking", []):
        if row["admission"] == "slot_shares" and row["ratio"] > BLOCKING_BOUND:
            names.append("short work behind long")
    for row in result.get("balance", []):
        if row["steering"] == "tracked" and row["maximum_over_mean"] > BALANCE_BOUND:
            names.append("imbalance")
    return names


def main() -> None:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--part", choices=("crest", "blocking", "balance"))
    parser.add_argument("--baselines", action="store_true")
    options = parser.parse_args()
    admissions = ["slot_shares", "least_loaded"][: 1 + options.baselines]
    steerings = ["tracked", "rendezvous"][: 1 + options.baselines]
    result: dict = {}
    if options.part in (None, "crest"):
        result["crest"] = [row for name in admissions for row in measure_surge(name)]
    if options.part in (None, "blocking"):
        result["blocking"] = [measure_blocking(name) for name in admissions]
    if options.part in (None, "balance"):
        result["balance"] = [measure_balance(name) for name in steerings]
    if options.json:
        print(json.dumps(result, indent=2))
        return
    for name, rows in result.items():
        print(name)
        for row in rows:
            print("  " + "  ".join(f"{key}={value}" for key, value in row.items()))
    print("missed bounds:", ", ".join(missed_bounds(result)) or "none")


if __name__ == "__main__":
    main()
