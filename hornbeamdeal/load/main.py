"""Command line of the load tool."""

import json
from pathlib import Path

import fire
import trio

from hornbeamdeal.settings import parse_duration, parse_endpoint

from ._profiles import FlowProfile, LoadRun, RequestProfile


class LoadCommands:
    """Puts load on running entry hosts and reports what callers observe."""

    def requests(
        self,
        address,
        path="/bookings",
        method="POST",
        rates="100",
        step="5s",
        timeout="10s",
        random_state=0,
        json=False,
    ):
        """Offer requests in steps of RATES, in requests a second, comma-separated."""
        steps = rates if isinstance(rates, tuple | list) else str(rates).split(",")
        profile = RequestProfile(
            method,
            path,
            tuple(float(rate) for rate in steps),
            parse_duration(step).total_seconds(),
            parse_duration(timeout).total_seconds(),
        )
        load_run = LoadRun(random_state=random_state)
        trio.run(load_run.run_requests, parse_endpoint(address), profile)
        print(render_summary(load_run.summary(), json))

    def flows(
        self,
        address,
        path="/map",
        flows=200,
        refresh="5s",
        duration="20s",
        random_state=0,
        json=False,
    ):
        """Keep FLOWS watched flows open for DURATION and count broken ones."""
        profile = FlowProfile(path, int(flows), parse_duration(refresh).total_seconds())
        load_run = LoadRun(random_state=random_state)
        seconds = parse_duration(duration).total_seconds()

        async def run() -> None:
            with trio.move_on_after(seconds):
                await load_run.run_flows(parse_endpoint(address), profile)

        trio.run(run)
        print(render_summary(load_run.summary(), json))

    def slopes(self, quick=False, json=False, out="", page=""):
        """Measure how costs grow with size; write OUT and rewrite the tables of PAGE."""
        # Imported here because only the commands of the capacity page need all
        # components of an entry host.
        from hornbeamdeal import capacity

        measured = capacity.measure_slopes(quick)
        text = capacity.to_json(measured)
        print(text if json else capacity.summarize(measured))
        if out:
            Path(out).write_text(text)
        if page:
            rewrite_page(Path(page), text)

    def tables(self, slopes="docs/capacity-slopes.json", page="docs/CAPACITY.md"):
        """Rewrite the tables of PAGE from the file SLOPES."""
        rewrite_page(Path(page), Path(slopes).read_text())


def rewrite_page(page: Path, slopes_text: str) -> None:
    """Rewrite the tables of the capacity page from the JSON of measured slopes."""
    from hornbeamdeal import capacity

    machine, slopes = capacity.from_json(slopes_text)
    page.write_text(capacity.render_page(page.read_text(), machine, slopes))


def render_summary(summary: dict, as_json: bool) -> str:
    """Format a summary as JSON or as text."""
    if as_json:
        return json.dumps(summary, indent=2)
    lines = []
    for phase in summary["requests"]:
        lines.append(f"{phase['phase']}: offered {phase['offered']}")
        for code, count in sorted(phase["codes"].items()):
            latency = phase["latency_ms"].get(code, {})
            figures = "  ".join(f"{name} {value} ms" for name, value in latency.items())
            lines.append(f"  {code:<20} {count:>6}  {figures}")
    flows = summary["flows"]
    if flows["flows"]:
        lines += [f"flows {name}: {value}" for name, value in flows.items()]
    return "\n".join(lines)


def main():
    """Run the command line of the load tool."""
    fire.Fire(LoadCommands)
