"""Demonstrates a host kill, a host replacement and a server drain on loopback."""

import json
import sys
import tempfile
from pathlib import Path

import fire
import trio

from hornbeamdeal.load import FlowProfile, LoadRun, RequestProfile
from hornbeamdeal.standins.environment import LocalEnvironment

from ._arequipa import make_document, make_layout

FABRIC_UPDATE_DELAY_SECONDS = 1.0
DRAIN_LIMIT_SECONDS = 3.0
DRAINED_TARGET = "reservas-3"


class Demo:
    """One run of the demonstration."""

    __slots__ = ("environment", "load", "events")

    def __init__(self, *, environment: LocalEnvironment, random_state: int):
        self.environment = environment
        self.load = LoadRun(random_state=random_state)
        self.events: list[str] = []

    async def run(self) -> None:
        """Generate load while hosts and a server are changed."""
        environment = self.environment
        bookings = RequestProfile("POST", "/bookings", (100.0,), 24.0, 10.0)
        rides = RequestProfile("GET", "/rides", (50.0,), 24.0, 10.0)
        flows = FlowProfile("/map", 210, 3.0)
        async with trio.open_nursery() as flow_nursery:
            flow_nursery.start_soon(
                self.load.run_flows, environment.address("reservas-map"), flows
            )
            async with trio.open_nursery() as nursery:
                address = environment.address("reservas-requests")
                nursery.start_soon(self.load.run_requests, address, bookings)
                nursery.start_soon(self.load.run_requests, address, rides)
                nursery.start_soon(self._apply_changes)
            await trio.sleep(4.0)
            flow_nursery.cancel_scope.cancel()

    async def _apply_changes(self) -> None:
        await trio.sleep(4.0)
        await self._kill_host()
        await trio.sleep(3.0)
        await self._replace_host()
        await trio.sleep(2.0)
        await self._drain_server()

    async def _kill_host(self) -> None:
        environment = self.environment
        environment.kill_host("aqp-cayma-entry-2")
        self.report_event(
            "killed entry host aqp-cayma-entry-2; the fabric learns 1 s later"
        )
        await trio.sleep(FABRIC_UPDATE_DELAY_SECONDS)
        await trio.to_thread.run_sync(
            environment.set_fabric_hosts, environment.live_hosts()
        )

    async def _replace_host(self) -> None:
        environment = self.environment
        zone = "aqp-yanahuara"
        await trio.to_thread.run_sync(environment.add_host, f"{zone}-entry-9", zone)
        code = await trio.to_thread.run_sync(environment.stop_host, f"{zone}-entry-1")
        self.report_event(
            f"replaced entry host {zone}-entry-1 as planned, exit code {code}"
        )

    async def _drain_server(self) -> None:
        environment = self.environment
        text = make_document(2, {DRAINED_TARGET: "draining"})
        await trio.to_thread.run_sync(environment.publish_document, text)
        seconds = await trio.to_thread.run_sync(
            environment.wait_version, 2, environment.live_hosts()
        )
        self.report_event(f"version 2 in force on all hosts after {seconds:.2f} s")
        await trio.sleep(DRAIN_LIMIT_SECONDS - min(seconds, DRAIN_LIMIT_SECONDS))
        starts_before = self._count_starts()
        await trio.sleep(4.0)
        self.report_event(
            f"work started at {DRAINED_TARGET} after 3 s: {self._count_starts() - starts_before}"
        )

    def _count_starts(self) -> int:
        counts = self.environment.control_server(DRAINED_TARGET)["counts"]
        return counts.get("started", 0) + counts.get("flows_opened", 0)

    def report_event(self, text: str) -> None:
        """Record and print one event."""
        self.events.append(text)
        print("-", text, flush=True)


def sum_server_counts(environment: LocalEnvironment) -> dict:
    """Return the sums of the counts of all backend servers."""
    totals: dict[str, int] = {}
    for name in environment.targets_by_name_:
        report = environment.control_server(name)
        counts = {**report["counts"], "doubled": len(report["doubled"])}
        for count, value in counts.items():
            totals[count] = totals.get(count, 0) + value
    return totals


def print_result(summary: dict, totals: dict) -> None:
    """Print response codes, latencies, refusals, flows and server counts."""
    for phase in summary["requests"]:
        codes = ", ".join(f"{code} {n}" for code, n in sorted(phase["codes"].items()))
        latency = phase["latency_ms"].get("CONTENT", {})
        print(f"{phase['phase']}: offered {phase['offered']}: {codes}")
        print(f"  answered p50 {latency.get('p50')} ms, p99 {latency.get('p99')} ms")
        for reason, count in phase["refusals"].items():
            print(f"  refused {count}: {reason}")
    flows = summary["flows"]
    print(
        f"flows: {flows['answered']} answered of {flows['flows']}, "
        f"{flows['broken']} broken, largest over mean {flows['maximum_over_mean']}"
    )
    print(f"servers: {json.dumps(totals, sort_keys=True)}")


def run(random_state=1, keep=None):
    """Run the demonstration; KEEP is a folder in which the process logs are kept."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(keep) if keep else Path(folder)
        with LocalEnvironment(layout=make_layout(), folder=root) as environment:
            demo = Demo(environment=environment, random_state=random_state)
            print(f"- {len(environment.hosts_by_id_)} entry hosts in 3 zones are ready")
            trio.run(demo.run)
            totals = sum_server_counts(environment)
    summary = demo.load.summary()
    print_result(summary, totals)
    passed = summary["flows"]["broken"] == 0 and totals["doubled"] == 0
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    fire.Fire(run)
