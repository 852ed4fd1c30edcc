"""Full servers: latecomers must not end the flows that are open.

Three servers hold 2,000 flows each, as many as they may. Clients that come later get no
answer, as a full server sends none. The open flows pause for 13.5 s, less than the idle
timeout, and then send their next request.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins.client import FlowClosedError  # noqa: E402
from standins.deployment import ZONES, make_config, run_case  # noqa: E402

SERVICE, ADDRESS = "draw-desk", ("198.18.0.1", 8443)
MAX_CONNS, SERVERS = 2000, 3
LIMITS = {
    "max_conns": MAX_CONNS,
    "slots": 3,
    "work_seconds": 0.005,
    "answer_bytes": 300,
}
CLIENTS = 60
OPENINGS_PER_SECOND = 600
FILL_SECONDS = 12.0
PAUSE_SECONDS = 13.5
IDLE_TIMEOUT_SECONDS = 15.0
FLOW_LIFETIME_SECONDS = 60.0
# The sheet's traffic is 177 requests a second, and a burst is 1.7 times that for 3 s.
LATECOMERS_PER_SECOND = 70
LATECOMER_SECONDS = 3.0
# Latecomers come after the openings, from shortly before the first next request.
LATECOMERS_START_SECONDS = 12.0
BUDGET_SECONDS = 3.0


class Visits:
    """What the clients do, and what became of it."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.held = []
        self.answered = self.failed = self.late_served = self.late_failed = 0

    async def hold(self, client, number):
        """Open a flow, make a request, pause and make another."""
        flow = client.new_flow(ADDRESS)
        try:
            await flow.open()
            await flow.request(f"first-{number}", BUDGET_SECONDS)
        except FlowClosedError as error:
            self.deployment.record.write("client", f"first-{number} failed: {error}")
            return
        self.held.append(flow)
        await asyncio.sleep(PAUSE_SECONDS)
        try:
            await flow.request(f"next-{number}", BUDGET_SECONDS)
            self.answered += 1
        except FlowClosedError as error:
            self.failed += 1
            text = f"next-{number} of {flow.source} failed: {error}"
            self.deployment.record.write("client", text)

    async def come_late(self, client, number):
        """Try to open a flow for one request."""
        flow = client.new_flow(ADDRESS)
        try:
            await flow.open()
            await flow.request(f"late-{number}", BUDGET_SECONDS)
            flow.close()
            self.late_served += 1
        except FlowClosedError as error:
            self.late_failed += 1
            self.deployment.record.write("client", f"late-{number} failed: {error}")


async def case(deployment, with_trouble):
    """Fill the servers, let latecomers come, and judge FLOW."""
    for zone in range(SERVERS):
        deployment.add_server(SERVICE, zone, **LIMITS)
    routes = [("r-watch", ADDRESS, SERVICE, "safe")]
    await deployment.start(make_config(routes, [SERVICE], 15000))
    for number in range(CLIENTS):
        await deployment.add_client(number % len(ZONES))
    visits, tasks, record = Visits(deployment), [], deployment.record
    is_alive = {server.server_id: server for server in deployment.servers}
    deployment.note_reset = lambda flow: judge(deployment, flow, is_alive)

    started, number = deployment.now(), 0
    while sum(len(s.flows) for s in deployment.servers) < SERVERS * MAX_CONNS:
        if deployment.now() - started > FILL_SECONDS:
            raise RuntimeError("the servers were not full in time")
        client = deployment.clients[number % CLIENTS]
        tasks.append(asyncio.ensure_future(visits.hold(client, number)))
        number += 1
        due = started + number / OPENINGS_PER_SECOND
        await asyncio.sleep(max(0.0, due - deployment.now()))
    counts = [len(s.flows) for s in deployment.servers]
    record.write("case", f"{number} flows tried, servers hold {counts}")
    record.write("case", f"full: {[c >= MAX_CONNS for c in counts]}")
    if with_trouble:
        await asyncio.sleep(started + LATECOMERS_START_SECONDS - deployment.now())
        end, late = deployment.now() + LATECOMER_SECONDS, 0
        while deployment.now() < end:
            client = deployment.clients[late % CLIENTS]
            tasks.append(asyncio.ensure_future(visits.come_late(client, late)))
            late += 1
            await asyncio.sleep(1 / LATECOMERS_PER_SECOND)
        record.write("case", f"{late} latecomers came")
    await asyncio.gather(*tasks)
    held = [len(s.flows) for s in deployment.servers]
    ignored = [s.ignored_openings for s in deployment.servers]
    runs = [n for s in deployment.servers for n in s.runs.values()]
    record.write("case", f"at the end servers hold {held}, ignored {ignored} openings")
    record.write("case", f"{len(runs)} requests ran, {sum(n > 1 for n in runs)} twice")
    record.write(
        "case",
        f"next requests: {visits.answered} answered, {visits.failed} failed; "
        f"latecomers: {visits.late_served} served, {visits.late_failed} not; "
        f"{len(deployment.violations)} flows of live servers reset",
    )
    deployment.count_events("server_out", "server_dead", "flow_reset")


def judge(deployment, flow, servers_by_id):
    """Judge FLOW (a) for a reset that a client accepted."""
    if not flow.is_open or flow.reset_by != "the system":
        return
    key = (flow.source, flow.service)
    holding = [s for s in servers_by_id.values() if key in s.flows]
    is_held = any(s.flows[key].is_open for s in holding)
    age = deployment.now() - flow.opened_at
    idle = deployment.now() - flow.used_at
    is_excused = age > FLOW_LIFETIME_SECONDS or idle > IDLE_TIMEOUT_SECONDS
    are_in_touch = all(node.is_in_touch() for node in deployment.nodes)
    if is_held and are_in_touch and not is_excused:
        text = f"{flow.source} at {holding[0].server_id}, open for {age:.1f} s"
        deployment.violate("FLOW", text)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, 101, case)
