"""Fake servers, and the catalog that lists them."""

import random
from collections import deque

from hornbeamdeal.dsr import Route, RouteTable, Server, Update

from .uneven_deployments import SLOTS, Deployment

QUEUE_LENGTH = 8
ERROR_SECONDS = 0.001  # time until a failing server answers with an error


class FakeServer:
    """Serves `SLOTS` requests at once, queues some more and sheds the rest."""

    def __init__(self, record: Server, speed: float, schedule, seed: int):
        self.record, self.speed, self._schedule = record, speed, schedule
        self.busy, self.queue, self.fails = 0, deque(), False
        self.starts = 0
        self._random = random.Random(seed)

    def receive(self, request, reply) -> None:
        """Serve a request; `reply` is called with the outcome."""
        if self.fails and self._random.random() < 0.5:
            self._record_start(request)
            self._schedule(ERROR_SECONDS, reply, "failed")
        elif self.busy < SLOTS:
            self._start(request, reply)
        elif len(self.queue) < QUEUE_LENGTH:
            self.queue.append((request, reply))
        else:
            reply("shed")

    def _start(self, request, reply) -> None:
        self.busy += 1
        self._record_start(request)
        self._schedule(request.work / self.speed, self._finish, reply)

    def _record_start(self, request) -> None:
        self.starts += 1
        request.runs += 1

    def _finish(self, reply) -> None:
        self.busy -= 1
        if self.queue:
            self._start(*self.queue.popleft())
        reply("answered")


def make_servers(deployment: Deployment) -> list[Server]:
    """Return the servers; the port of a server's address is its index."""
    services = [s for s, count in deployment.servers_by_service for _ in range(count)]
    return [
        Server(
            server_id=f"s{index}",
            number=index.to_bytes(4, "big"),
            service=service,
            address=("10.1.0.1", index),
            zone=f"z{index % deployment.zones}",
            slots=SLOTS,
            is_draining=False,
            revision=1,
        )
        for index, service in enumerate(services)
    ]


def make_update(deployment: Deployment, servers: list[Server]) -> Update:
    """Return a full copy of the catalog with a route for each kind of request."""
    routes = [
        Route(
            address_key=address_key(index),
            name=kind.name,
            weights_by_service={kind.service: 1.0},
            kind=kind.name,
            priority=kind.priority,
            aim_seconds=kind.aim,
            timeout_seconds=kind.timeout,
        )
        for index, kind in enumerate(deployment.kinds)
    ]
    table = RouteTable(
        version=1,
        routes_by_key={route.address_key: route for route in routes},
        idle_timeout=60.0,
    )
    return Update(base_revision=None, revision=1, servers=servers, routes=table)


def address_key(index: int) -> bytes:
    """Return the service address of a kind of request."""
    return b"serv" + index.to_bytes(2, "big")
