"""Another writer puts an entry with missing fields under the id of a live server."""

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

PER_SECOND = 40


async def case(world, trouble):
    record, store = world.record, world.store
    address = (world.ip(3), world.store_port)
    await store.listen(*address)
    host = world.ip(200)
    routes = [
        route("r-map", host, 8443, "maps"),
        route("r-photo", host, 8080, "photos"),
    ]
    await store.put("op/config", configuration(7, routes, ["maps", "photos"]))
    for number, zone in enumerate(world.zones):
        for base, service in ((50, "maps"), (60, "photos")):
            ip = world.ip(base + number)
            server = Server(
                world, f"i-7f3a9{base}{number}", service, ip, world.server_port, zone
            )
            world.servers.append(server)
            await server.start()
        world.clients.append(Client(world, world.ip(100 + number), zone))
        await world.clients[-1].start()
        world.nodes.append(
            Node(world, f"front-{zone}-1", world.ip(10 + number), zone)
        )
    for node in world.nodes:
        node.write_settings("{}:{}".format(*address), bootstrap=True)
        await node.start()
    world.router.start()
    if not await world.wait_ready():
        raise RuntimeError("the nodes did not become ready")
    await asyncio.sleep(5)
    traffic = asyncio.create_task(
        world.traffic([(host, 8443)], PER_SECOND, record.now() + 8)
    )
    await asyncio.sleep(3)
    photos = next(s for s in world.servers if s.service == "photos")
    if trouble:
        # Without `version`, `cold_remaining_ms` and `seq`.
        await store.put(
            f"servers/{photos.server_id}",
            {
                "service": "maps",
                "address": f"{photos.ip}:{photos.port}",
                "zone": photos.zone,
                "slots": 3,
                "state": "ready",
            },
        )
        record.write(f"another writer's entry, with fields missing: {photos.server_id}")
    await traffic
    answered = [o for o in world.outcomes if o["outcome"] == "200"]
    foreign = [o for o in answered if not o["body"].startswith("maps ")]
    runs = [r for s in world.servers if s.service == "photos" for r in s.runs]
    record.write(
        f"of {len(world.outcomes)} requests to the route of maps {len(answered)} were "
        f"answered; {len(runs)} were run by a server of photos, {len(foreign)} answered"
    )
    if len(answered) < len(world.outcomes) / 2:
        return 2
    return 1 if runs else 0


run_case(case, FOLDER)
