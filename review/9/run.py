"""One target crashes, and a node resets a flow that is open at another one."""

import asyncio
import os
import sys

import world as standins

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROUTE = 8080


async def open_at(world, client, target):
    """Return a flow of a client that a target has taken and answered once."""
    for _ in range(20):
        flow = client.flow(ROUTE)
        is_served = await flow.open() and await flow.request() == "served"
        if is_served and any(key == flow.key for _, key in target.opened):
            return flow
        flow.close()
        await asyncio.sleep(0.05)
    raise standins.CannotRun("no flow was placed on the target")


async def script(world):
    record = world.record
    for _ in range(3):
        world.add_node("z1", 100.0)
    world.put_config(3, [(ROUTE, "reservas")])
    busy = await world.add_target("reservas", "z1")
    crashing = await world.add_target("reservas", "z1")
    await world.run_store()
    for node in world.nodes:
        node.start()
    await world.wait_ready()
    await asyncio.sleep(6.0)  # all machines have been calm for longer than contact_ms
    others = [await world.add_client(node) for node in world.nodes[:2]]
    held = [await open_at(world, client, crashing) for client in others]
    # For some seconds the first target holds as many flows as it can.
    busy.is_full = True
    record.write(f"{busy.name} is full")
    for _ in range(6):
        flow = others[0].flow(ROUTE)
        if await flow.open():
            await flow.request()
        flow.close()
    busy.is_full = False
    record.write(f"{busy.name} has room again")
    await asyncio.sleep(5.0)
    patient = await world.add_client(world.nodes[0])
    for _ in range(6):
        flow = patient.flow(ROUTE)
        is_open = await flow.open()
        await asyncio.sleep(0.05)
        if is_open and any(key == flow.key for _, key in busy.opened):
            break
        flow.close()
        await asyncio.sleep(2.2)
    else:
        raise standins.CannotRun("no flow was opened at the first target")
    record.write(f"{patient.name} holds {flow.name()} at {busy.name}, and pauses")
    requests = [asyncio.ensure_future(held_flow.request()) for held_flow in held]
    if world.is_troubled:
        crashing.crash()
    await asyncio.sleep(2.5)
    holds = flow.key in busy.flows
    record.write(f"{busy.name} still holds the flow: {holds}")
    if flow.reset_by_system_at is not None and flow.reset_by_target_at is None:
        world.violations.append(
            f"FLOW: front-1 reset {flow.name()}, which is open at the live {busy.name}"
        )
    else:
        record.write(f"request after the pause: {await flow.request()}")
    for task in requests:
        record.write(f"request at {crashing.name}: {await task}")


if __name__ == "__main__":
    sys.exit(standins.main(script, FOLDER))
