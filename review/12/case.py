"""Another writer's unreadable entries make each full read exceed the memory limit."""

import asyncio
import os
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

PER_SECOND = 20
MEMORY_MB = 300
VALUE_BYTES = 1_048_576
ENTRIES = 130
RESTART_S = 0.5
CHECK_S = 0.01
ENDS_OF_A_FAULT = 3
OBSERVED_S = 45


async def case(world, trouble):
    record, store = world.record, world.store
    address = (world.ip(3), world.store_port)
    await store.listen(*address)
    host = world.ip(200)
    routes = [route("r-map", host, 8443, "maps")]
    await store.put("op/config", configuration(7, routes, ["maps"]))
    for number, zone in enumerate(world.zones):
        ip = world.ip(50 + number)
        server = Server(
            world, f"i-7f3a91c{number}", "maps", ip, world.server_port, zone
        )
        world.servers.append(server)
        await server.start()
        world.clients.append(Client(world, world.ip(100 + number), zone))
        await world.clients[-1].start()
        world.nodes.append(Node(world, f"front-{zone}-1", world.ip(10 + number), zone))
    for node in world.nodes:
        node.write_settings("{}:{}".format(*address), bootstrap=True)
        await node.start()
    world.router.start()
    if not await world.wait_ready():
        raise RuntimeError("the nodes did not become ready")
    ends = {node.name: 0 for node in world.nodes}
    peaks = {node.name: 0 for node in world.nodes}
    platforms = [
        asyncio.create_task(limit_memory(world, node, ends, peaks, address))
        for node in world.nodes
    ]
    await asyncio.sleep(3)
    traffic = asyncio.create_task(
        world.traffic([(host, 8443)], PER_SECOND, record.now() + OBSERVED_S + 8)
    )
    await asyncio.sleep(5)
    written_at = record.now()
    if trouble:
        for number in range(ENTRIES):
            value = b"\xff" + os.urandom(VALUE_BYTES - 1)
            await store.put(f"servers/x-{number:08x}", value)
            await asyncio.sleep(0.02)
        record.write(
            f"another writer has written {ENTRIES} entries of {VALUE_BYTES} bytes"
        )
    await traffic
    for task in platforms:
        task.cancel()

    before = [o for o in world.outcomes if o["sent"] < written_at]
    after = [o for o in world.outcomes if o["sent"] > written_at + 15]
    ended = [name for name, count in ends.items() if count >= ENDS_OF_A_FAULT]
    record.write(f"ends by the memory limit: {ends}; greatest MB seen: {peaks}")
    record.write(
        f"{served(before)} of {len(before)} requests were served before, "
        f"{served(after)} of {len(after)} from 15 s after it on; processes that ended "
        f"{ENDS_OF_A_FAULT} times or more: {len(ended)} of {len(ends)}"
    )
    if served(before) < 0.9 * len(before):
        return 2
    return 1 if len(ended) >= 2 else 0


async def limit_memory(world, node, ends, peaks, address):
    """Kill a process that exceeds the limit and start it again, as the platform does."""
    while True:
        await asyncio.sleep(CHECK_S)
        memory_mb = node.memory_mb()
        peaks[node.name] = max(peaks[node.name], round(memory_mb))
        if memory_mb > MEMORY_MB:
            ends[node.name] += 1
            world.record.write(f"{node.name} has {memory_mb:.0f} MB")
            await node.kill()
            await asyncio.sleep(RESTART_S)
            node.write_settings("{}:{}".format(*address))
            await node.start()


def served(outcomes):
    return sum(o["outcome"] == "200" for o in outcomes)


run_case(case, FOLDER)
