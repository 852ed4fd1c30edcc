"""Steps for real nodes as processes."""

import json
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

import trio
from behave import given, then, when
from fakes.platform_layout import EVACUATION_SECONDS, METRICS_PORT, REPOSITORY
from fakes.platform_world import PlatformWorld

WARM_UP_SECONDS = 2.5
RUN_ON_SECONDS = 3.0
# The pages of all nodes are read within a second after the bound.
READ_BY_SECONDS = EVACUATION_SECONDS + 1.0


@given("real nodes that serve callers")
def given_world(context):
    context.world = PlatformWorld()
    context.add_cleanup(context.world.temporary.cleanup)


def run_scenario(context, action):
    """Run the parties, call `action` after the warm-up, and run on for a while."""

    async def script(world):
        await trio.sleep(WARM_UP_SECONDS)
        context.acted_at = trio.current_time()
        await action(world)
        await trio.sleep(RUN_ON_SECONDS)

    trio.run(context.world.run, script)


@when("a real node is stopped gracefully")
def when_stopped(context):
    async def stop(world):
        context.exit_code = await world.nodes[0].stop()

    run_scenario(context, stop)


@when("all real nodes are killed and started again")
def when_killed(context):
    async def restart(world):
        for node in world.nodes:
            node.kill()
        for node in world.nodes:
            node.start()

    run_scenario(context, restart)


@when("a real node starts again while the store is silent")
def when_start_without_store(context):
    async def restart(world):
        world.record_store_fault()
        world.store.is_silent = True
        world.nodes[0].kill()
        world.nodes[0].start()
        await trio.sleep(3.0)

    run_scenario(context, restart)


def read_status(node):
    url = f"http://{node.ip}:{METRICS_PORT}/status"
    with urllib.request.urlopen(url, timeout=2) as response:
        return json.load(response)


@when("all zones of real nodes are evacuated for {seconds:d} s")
def when_evacuated(context, seconds):
    async def evacuate(world):
        context.zones = sorted({server.zone for server in world.servers})
        for zone in context.zones:
            world.evacuate(zone)
        await trio.sleep(EVACUATION_SECONDS)
        context.statuses = [
            await trio.to_thread.run_sync(read_status, node) for node in world.nodes
        ]
        await trio.sleep_until(context.acted_at + seconds)
        for zone in context.zones:
            world.end_evacuation(zone)
        await trio.sleep(EVACUATION_SECONDS)

    run_scenario(context, evacuate)


@then('openings were refused as "{reason}" from {start:d} s to {end:d} s after it')
def then_refused(context, reason, start, end):
    begun = context.acted_at
    openings = context.world.openings
    served = [s for at, s in openings if begun + start <= at < begun + end]
    assert served and not any(served), (len(served), served.count(True))
    logs = "".join(node.log() for node in context.world.nodes)
    assert "event=opening_refused" in logs and f"reason={reason}" in logs


@when("a real node starts again {seconds:d} s after zone {zone} was evacuated")
def when_start_evacuated(context, seconds, zone):
    async def restart(world):
        world.evacuate(zone)
        await trio.sleep(seconds)
        context.log_before = world.nodes[0].log()
        world.nodes[0].kill()
        world.nodes[0].start()

    run_scenario(context, restart)


@then("the node's log tells of the evacuation and of no flow opened to zone {zone}")
def then_log_tells(context, zone):
    log = context.world.nodes[0].log().removeprefix(context.log_before)
    lines = log.partition("event=starting")[2].splitlines()
    assert any("event=zone_evacuated" in e and f"zone={zone}" in e for e in lines)
    placed = [line for line in lines if "event=flow_placed" in line]
    in_zone = [s.server_id for s in context.world.servers if s.zone == zone]
    assert placed
    assert not [line for line in placed if any(i in line for i in in_zone)]


@then("each real node's status showed both zones and how long")
def then_status(context):
    for status in context.statuses:
        shown = status["zones_evacuated"]
        assert [zone["zone"] for zone in shown] == context.zones, status
        for zone in shown:
            assert 0 <= zone["since_ms"] <= 1000 * READ_BY_SECONDS
            assert zone["revision"] > 0 and zone["unconfirmed_ms"] == 0


@when("one of their servers stops answering")
def when_silent(context):
    async def silence(world):
        world.servers[0].is_silent = True
        await trio.sleep(2.0)
        context.acted_at = trio.current_time()

    run_scenario(context, silence)


@then("it exits with 0 within the grace period")
def then_exits(context):
    assert context.exit_code == 0, context.world.nodes[0].log()[-2000:]


@then("no guarantee is violated and no flow broke")
def then_no_flow_broke(context):
    assert context.world.failures == []
    assert context.world.broken == []
    assert len(context.world.served) > 100, len(context.world.served)


@then("no guarantee is violated")
def then_no_violation(context):
    assert context.world.failures == []


@then("requests are served again within {seconds:g} s")
@then("its callers are served again within {seconds:g} s")
def then_served(context, seconds):
    start = context.acted_at + seconds
    late = [served for at, served in context.world.openings if at >= start]
    assert late and all(late), (len(late), late.count(False))


def start_node(arguments, settings):
    """Run a node that fails at its start; return its exit code and stderr."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(settings))
        site = [p for p in sys.path if p.endswith("site-packages")]
        completed = subprocess.run(
            [sys.executable, "-S", str(REPOSITORY / "deploy/__main__.py"), *arguments],
            env={
                "HORNBEAMDEAL_NODE_FILE": str(path),
                "PYTHONPATH": ":".join([str(REPOSITORY), *site]),
            },
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )
    return completed.returncode, completed.stderr


@when("a node is started with a settings file without a store")
def when_faulty_settings(context):
    context.completed = start_node(["127.2.9.1:8172"], {"node_name": "n"})


@when("a node is started at an address that is not local")
def when_bad_address(context):
    context.completed = start_node(["192.0.2.1:8172"], {})


@then('the node exits with {code:d} and names "{text}"')
def then_ended(context, code, text):
    assert context.completed[0] == code, context.completed
    assert text in context.completed[1], context.completed


MEGABYTE_KB = 1000


@when(
    "another writer puts {count:d} entries of {size:d} bytes and a route is added after it"
)
def when_filled(context, count, size):
    async def fill(world):
        for number in range(count):
            world.store.put(f"servers/x-{number:08x}", b"\xff" * size)
            await trio.sleep(0.05)
        context.added_at = time.time()
        world.add_port(max(world.ports) + 1)
        context.version = world.version
        # Longer than a reader's interval between two full reads.
        await trio.sleep(12.0)
        context.peaks_kb = [read_peak_kb(node) for node in world.nodes]

    run_scenario(context, fill)


def read_peak_kb(node):
    """Return the greatest resident memory of a node's process so far."""
    text = Path(f"/proc/{node.process.pid}/status").read_text()
    return int(text.partition("VmHWM:")[2].split()[0]) * 1024 / 1000


@then("each real node took at most {size:d} MB of memory")
def then_memory(context, size):
    assert max(context.peaks_kb) <= size * MEGABYTE_KB, context.peaks_kb


@then("each real node had the route in force within {seconds:g} s")
def then_route_in_force(context, seconds):
    for node in context.world.nodes:
        # Another host's update tells the version as well, in news_applied.
        lines = [f"{line} " for line in node.log().splitlines()]
        line = next(t for t in lines if f" version={context.version} " in t)
        in_force_at = float(line.partition("time=")[2].split()[0])
        seconds_until = in_force_at - context.added_at
        assert seconds_until <= seconds, (seconds_until, node.log())
