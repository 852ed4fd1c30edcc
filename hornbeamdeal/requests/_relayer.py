"""Handles requests whose run tokens other incarnations issued."""

from dataclasses import replace
from typing import Any

import xxhash

from hornbeamdeal.kernel import Count, RelayRequest, Request, SendPeer, View
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
    """Relays requests to issuers and ends those whose issuer is gone."""

    __slots__ = ("answers", "log")

    def __init__(self, *, answers: AnswerFactory, log: RelayLog):
        self.answers = answers
        self.log = log

    def update(self, view: View, now: float) -> list[Any]:
        """Take a new view and end the relays whose issuer it calls dead."""
        self.log.update(view)
        return self._answer_issuer_gone(self.log.sweep_now(now))

    def tick(self, now: float) -> list[Any]:
        """End the relays whose issuer stayed unknown for the grace time."""
        return self._answer_issuer_gone(self.log.sweep(now))

    def relay(
        self, request: Request, token: RunToken, route: Route, now: float
    ) -> list[Any]:
        """Relay a request once, or end it where its issuer is gone."""
        if request.hops > 0:
            return self._answer_for_gone(request, token, route)
        if self.log.is_gone(token.incarnation):
            return self._unknown(request, route.service)
        relay = _make_relay(request, now + route.work_class.deadline, now)
        actions: list[Any] = [
            RelayRequest(token.endpoint, replace(request, hops=1)),
            Count("requests_relayed", service=route.service),
        ]
        if not self.log.add(token.incarnation, relay):
            actions.append(Count("relays_not_logged", service=route.service))
        return actions

    def handle_issuer_gone(
        self, message: peer_types.IncarnationGone, now: float
    ) -> list[Any]:
        """Take a peer's word that an issuer is gone.

        The peer has answered the request that the message holds.
        """
        self.log.mark_gone(message.incarnation)
        ended = self.log.sweep_now(now)
        return self._answer_issuer_gone(
            [r for r in ended if not _matches(r, message.request)]
        )

    def _answer_for_gone(
        self, request: Request, token: RunToken, route: Route
    ) -> list[Any]:
        """Answer a relayed request in place of the issuer that ran here before.

        The caller gets the answer from here, one message earlier than by way
        of the relaying host; the message to that host closes its record.
        """
        actions = self._unknown(request, route.service)
        if request.relayed_by is not None:
            message = _make_gone_message(request, token.incarnation)
            actions.append(SendPeer(request.relayed_by, message))
        return actions

    def _unknown(self, request: Request, service: str = "") -> list[Any]:
        return reply(request, self.answers.unknown(Reason.ISSUER_GONE), service)

    def _answer_issuer_gone(self, relays: list[Relay]) -> list[Any]:
        actions = []
        for relay in relays:
            actions += self._unknown(relay.request)
        return actions
