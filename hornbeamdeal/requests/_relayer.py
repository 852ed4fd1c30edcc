"""Handle requests whose run tokens were issued by other incarnations."""

from dataclasses import replace
from typing import Any

import xxhash

from hornbeamdeal.kernel import (
    ClusterView,
    IncrementCounter,
    RelayRequest,
    Request,
    SendPeerMessage,
)
from hornbeamdeal.wire import peer_types

from ._answers import AnswerFactory, reply
from ._base import Reason
from ._relay_log import Relay, RelayLog
from ._routing import Route
from ._token import RunToken


def _make_gone_message(
    request: Request, incarnation: int
) -> peer_types.IncarnationGone:
    relayed = peer_types.RelayedRequest(
        request.caller.ip,
        request.caller.port,
        request.address.ip,
        request.address.port,
        request.datagram,
        request.hops,
    )
    return peer_types.IncarnationGone(incarnation, relayed)


def _make_relay(request: Request, deadline: float, now: float) -> Relay:
    without_payload = replace(request, payload=b"", datagram=b"")
    digest = xxhash.xxh3_64_intdigest(request.datagram)
    return Relay(without_payload, digest, now, deadline)


def _matches(relay: Relay, relayed: peer_types.RelayedRequest) -> bool:
    caller = relay.request.caller
    if (caller.ip, caller.port) != (relayed.caller_ip, relayed.caller_port):
        return False
    return relay.datagram_digest == xxhash.xxh3_64_intdigest(relayed.datagram)


class Relayer:
    """Relays requests to the issuers of their tokens; answers for dead issuers."""

    __slots__ = ("answers", "log")

    def __init__(self, *, answers: AnswerFactory, log: RelayLog):
        self.answers = answers
        self.log = log

    def update(self, view: ClusterView, now: float) -> list[Any]:
        """Apply a new view, and end the relays whose issuers are dead in it."""
        self.log.update(view)
        return self._answer_issuer_gone(self.log.sweep_now(now))

    def tick(self, now: float) -> list[Any]:
        """End the relays whose issuers are unknown or suspect for too long."""
        return self._answer_issuer_gone(self.log.sweep(now))

    def relay(
        self, request: Request, token: RunToken, route: Route, now: float
    ) -> list[Any]:
        """Relay a request to its issuer, or answer it if the issuer is gone.

        A request that was relayed to this host is not relayed again.
        """
        if request.hops > 0:
            return self._answer_for_gone(request, token, route)
        if self.log.is_gone(token.incarnation):
            return self._unknown(request, route.service)
        relay = _make_relay(request, now + route.work_class.deadline, now)
        actions: list[Any] = [
            RelayRequest(token.endpoint, replace(request, hops=1)),
            IncrementCounter("requests_relayed", service=route.service),
        ]
        if not self.log.add(token.incarnation, relay):
            actions.append(IncrementCounter("relays_not_logged", service=route.service))
        return actions

    def handle_issuer_gone(
        self, message: peer_types.IncarnationGone, now: float
    ) -> list[Any]:
        """Record a peer's report that an issuer is gone, and end its relays.

        The request in the message is left out: the peer has answered it.
        """
        self.log.mark_gone(message.incarnation)
        ended = self.log.sweep_now(now)
        return self._answer_issuer_gone(
            [r for r in ended if not _matches(r, message.request)]
        )

    def _answer_for_gone(
        self, request: Request, token: RunToken, route: Route
    ) -> list[Any]:
        """Answer a relayed request whose issuer was this host's previous process.

        This host answers the caller directly, which takes one message less than
        through the relaying host. The message to the relaying host makes it drop
        the request from its log.
        """
        actions = self._unknown(request, route.service)
        if request.relayed_by_endpoint is not None:
            message = _make_gone_message(request, token.incarnation)
            actions.append(SendPeerMessage(request.relayed_by_endpoint, message))
        return actions

    def _unknown(self, request: Request, service: str = "") -> list[Any]:
        return reply(request, self.answers.unknown(Reason.ISSUER_GONE), service)

    def _answer_issuer_gone(self, relays: list[Relay]) -> list[Any]:
        actions = []
        for relay in relays:
            actions += self._unknown(relay.request)
        return actions
