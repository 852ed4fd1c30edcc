"""Clients that send requests all the time, and the check of a new configuration."""

import asyncio

from .client import FlowClosedError
from .deployment import BOUNDS

APPLY_SECONDS = BOUNDS["config_apply_ms"] / 1000
BODY = b"b" * 900


class Workload:
    """Clients that each open a flow for every request, and count what they get."""

    def __init__(self, deployment, address, budget_seconds, pause_seconds):
        self.deployment = deployment
        self.address = address
        self.budget_seconds = budget_seconds
        self.pause_seconds = pause_seconds
        self.answered = self.failed = 0
        self._tasks = []

    async def start(self, clients, zones):
        """Start a number of clients, spread over zones."""
        for number in range(clients):
            client = await self.deployment.add_client(number % zones)
            self._tasks.append(asyncio.ensure_future(self._call(client)))

    async def _call(self, client):
        number = 0
        while True:
            number += 1
            flow = client.new_flow(self.address)
            flow.sent_at = self.deployment.now()
            request_id = f"{client.ip}-{number}"
            try:
                await flow.open()
                answer = await flow.request(
                    request_id, self.budget_seconds, BODY, "POST"
                )
                flow.close()
                self.answered += 1
                text = f"answered by {answer['Server-Stamp']}"
            except FlowClosedError as error:
                self.failed += 1
                text = f"failed: {error}"
            self.deployment.record.write("client", f"{request_id} {text}")
            await asyncio.sleep(self.pause_seconds)


class ConfigCheck:
    """Judges CONFIG for a route that a new version gives to another service."""

    def __init__(self, deployment, old_service):
        self.deployment = deployment
        self.old_service = old_service
        self.acknowledged_at = None
        deployment.note_opening = self._judge

    def publish(self, config):
        """Write the version from which the old service no longer is right."""
        self.acknowledged_at = self.deployment.publish(config)

    def _judge(self, server, key, node_ip, packet):
        client = next(c for c in self.deployment.clients if c.ip == key[0][0])
        flow = client.flows.get(key[0][1])
        node = next(n for n in self.deployment.nodes if n.ip == node_ip)
        if self.acknowledged_at is None or flow is None:
            return
        late = flow.sent_at - self.acknowledged_at
        is_late = late > APPLY_SECONDS and node.is_in_touch()
        if is_late and server.service == self.old_service:
            text = (
                f"a request sent {late:.1f} s after the acknowledgement was run by "
                f"{self.old_service}, through {node.name}"
            )
            self.deployment.violate("CONFIG", text)
