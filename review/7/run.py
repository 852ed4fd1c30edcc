"""Two pages of one stale read have different ages at the first start of the system."""

import asyncio
import os
import sys

import world as standins

FOLDER = os.path.dirname(os.path.abspath(__file__))
OLD_ROUTE, NEW_ROUTE = 8080, 8443
FIRST_TRAFFIC_S = 12.0


async def script(world):
    record, store = world.record, world.store
    for zone in ("z1", "z2", "z3"):
        world.add_node(zone)
    world.put_config(3, [(OLD_ROUTE, "reservas")])
    # More entries than a page holds. The service `archivo` gets no traffic.
    for zone in ("z1", "z2", "z3"):
        await world.add_target("reservas", zone)
    for number in range(60):
        address = f"{world.ip(standins.TARGET_NET, 100 + number)}:{world.server_port}"
        store.put(
            f"servers/i-{0x80000000 + number:08x}",
            {"service": "archivo", "address": address, "zone": "z1", "version": "v1",
             "slots": 3, "state": "ready", "cold_remaining_ms": 0, "seq": 1},
        )  # fmt: skip
    old = store.revision
    # The operator adds a route; from here on the store is not written any more.
    world.put_config(8, [(OLD_ROUTE, "reservas"), (NEW_ROUTE, "reservas")])
    acknowledged_at = record.now()
    record.write("version 8 with the new route is acknowledged")

    first_pages = []

    def choose_stale(call, query):
        """Return the revision that a stale page shows.

        A second copy of the store is two seconds behind. The first pages of the two
        hosts that read first come from the current copy, all other pages within two
        seconds from the other one.
        """
        is_first_page = not query.get("after")
        first_pages.extend([call] * is_first_page)
        is_current = is_first_page and len(first_pages) <= 2
        is_behind = world.is_troubled and record.now() - acknowledged_at < 2.0
        return old if is_behind and not is_current else store.revision

    store.choose_stale = choose_stale
    await world.run_store()
    started = record.now()
    for node in world.nodes[:2]:
        node.start(is_first_start=True)
    # All machines start within 0.3 s of each other.
    while len(first_pages) < 2 and record.now() - started < 0.28:
        await asyncio.sleep(0.005)
    world.nodes[2].start(is_first_start=True)
    await world.wait_ready()
    await asyncio.sleep(max(0.0, started + FIRST_TRAFFIC_S - record.now()))
    record.write("traffic starts")
    clients = [await world.add_client(node) for node in world.nodes]
    outcomes = []
    for _ in range(4):
        for client in clients:
            for route in (OLD_ROUTE, NEW_ROUTE):
                flow = client.flow(route)
                sent_at = record.now()
                is_open = await flow.open()
                served = is_open and await flow.request() == "served"
                flow.close()
                outcomes.append((client, route, served))
                if is_open and not served or (route == OLD_ROUTE and not served):
                    raise standins.CannotRun(
                        f"the old route failed at {client.node.name}"
                    )
                # Machines, store and targets have been calm for longer than contact_ms.
                late = sent_at - acknowledged_at
                if not served and flow.reset_by_system_at is not None:
                    world.violations.append(
                        f"CONFIG: {client.node.name} refused {flow.name()}, whose route "
                        f"is in force, {late:.1f} s after version 8 was acknowledged"
                    )
        await asyncio.sleep(2.0)
    served = sum(served for _, _, served in outcomes)
    record.write(f"{served} of {len(outcomes)} requests served")


if __name__ == "__main__":
    sys.exit(standins.main(script, FOLDER))
