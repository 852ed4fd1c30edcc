"""A node that was turned away by the store goes on with an old configuration."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-3"))

from standins import (  # noqa: E402
    Client,
    Node,
    Server,
    configuration,
    route,
    run_case,
)

# Limits of the pages: the store turns a machine away for 9 s at most.
REJECTION_S = 9.0
ATTEMPTS = 6
# The remaining node reads the store from 2.3 s after the last news of the others on.
REJECTED_AFTER_S = 2.2
CONTACT_S = 4.0
CONFIG_APPLY_S = 3.0
PROBE_INTERVAL_S = 0.05
ZONE = "z1"


async def case(world, trouble):
    record, store = world.record, world.store
    address = (world.ip(3), world.store_port)
    await store.listen(*address)
    host = world.ip(200)
    dropped, kept = (
        route("r-old", host, 8443, "maps"),
        route("r-map", host, 8080, "maps"),
    )
    await store.put("op/config", configuration(7, [dropped, kept], ["maps"]))
    for number in range(3):
        ip = world.ip(50 + number)
        server = Server(
            world, f"i-7f3a91c{number}", "maps", ip, world.server_port, ZONE
        )
        world.servers.append(server)
        await server.start()
        world.nodes.append(
            Node(world, f"front-{ZONE}-{number}", world.ip(10 + number), ZONE)
        )
    client = Client(world, world.ip(100), ZONE)
    await client.start()
    for node in world.nodes:
        node.write_settings("{}:{}".format(*address), bootstrap=True)
        await node.start()
    world.router.start()
    if not await world.wait_ready():
        raise RuntimeError("the nodes did not become ready")
    await asyncio.sleep(6)
    positions = {}
    for node in world.nodes:
        positions[(await node.status())["reader_position"]] = node
    survivor = positions[2]
    record.write(f"the node whose turn to read is last: {survivor.name}")

    if trouble:
        # All nodes know then that their configuration is current.
        answers = store.answers
        while store.answers == answers:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.03)
        for position in (0, 1):
            await positions[position].kill()
        await asyncio.sleep(REJECTED_AFTER_S)
        store.reject(*address)
        rejected_at, calls = record.now(), store.calls
        record.write("the store turns the remaining machine away (503)")
    acknowledged_at = await change(world, kept)
    if trouble:
        while record.now() < rejected_at + REJECTION_S - 0.05:
            if store.calls >= calls + ATTEMPTS:
                break
            await asyncio.sleep(0.01)
        store.serve(*address)
    served_at = record.now()
    record.write("the store serves all machines")
    in_touch_from = served_at + CONTACT_S
    judged_from = max(in_touch_from, acknowledged_at + CONFIG_APPLY_S) + 0.05
    await asyncio.sleep(judged_from - record.now())
    tasks = []
    for number in range(80):
        tasks.append(
            asyncio.create_task(
                world.attempt(client, host, 8443, f"old{number:02d}", node=survivor)
            )
        )
        await asyncio.sleep(PROBE_INTERVAL_S)
    kept_route = await world.attempt(client, host, 8080, "kept", node=survivor)
    outcomes = await asyncio.gather(*tasks)
    old = [o for o in outcomes if o["outcome"] == "200"]
    status = await survivor.status()
    record.write(f"{survivor.name}: version {status['version']} at the end")
    record.write(
        f"{len(old)} of {len(outcomes)} requests to the dropped route, sent later than "
        f"{judged_from - acknowledged_at:.2f} s after the acknowledgement of version 8 "
        f"and than {judged_from - served_at:.2f} s after the last impairment, were run"
    )
    if kept_route["outcome"] != "200":
        return 2
    return 1 if old else 0


async def change(world, kept):
    await world.store.put("op/config", configuration(8, [kept], ["maps"]))
    world.record.write("version 8, without the route to port 8443, is acknowledged")
    return world.record.now()


run_case(case, FOLDER)
