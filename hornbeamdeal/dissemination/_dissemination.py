"""The dissemination component of one entry host."""

import random
from typing import Any

from hornbeamdeal.kernel import (
    Between,
    LogEvent,
    PauseDetected,
    PeerReceived,
    PlatformRead,
    SendPeer,
    Version,
    View,
    validate_parameters,
)
from hornbeamdeal.wire import peer_types

from ._peer_messages import PeerMessages
from ._peers import PeerSet
from ._platform_answers import PlatformAnswers
from ._progress import QUERY_PEERS, Progress
from ._topic import DOCUMENT, HOSTS

QUERY_INTERVAL_SECONDS = 0.5

_CONSTRAINTS_BY_NAME = {"offer_interval": Between(0.05, 60)}


class Dissemination:
    """Spreads documents and host lists over a region.

    Parameters
    ----------
    own_id, zone : str
        Identifier and availability zone of this host.
    check_document, check_hosts : callable or None
        Return the fault of a content, an empty string where there is none.
        Faulty versions are never put in force.
    offer_interval : float
        Seconds between two offers to a random peer (anti-entropy).
    random_state : int or None
        Seed of all random choices.

    Attributes
    ----------
    version_ : Version or None
        Document in force.
    host_list_version_ : Version or None
        Host list in use; its number is the platform's revision.
    is_reader_ : bool
        Whether this host watches the platform for its zone.
    ready_ : bool
        Whether this host knows enough to serve; never taken back.
    """

    __slots__ = (
        "check_document",
        "check_hosts",
        "offer_interval",
        "own_id",
        "random_state",
        "ready_",
        "zone",
        "_offer_due",
        "_peer_messages",
        "_peers",
        "_platform_answers",
        "_progress",
        "_query_due",
        "_started",
    )

    def __init__(
        self,
        *,
        own_id: str,
        zone: str,
        check_document=None,
        check_hosts=None,
        offer_interval: float = 1.0,
        random_state: int | None = None,
    ):
        self.own_id = own_id
        self.zone = zone
        self.check_document = check_document
        self.check_hosts = check_hosts
        self.offer_interval = offer_interval
        self.random_state = random_state
        self.ready_ = False
        self._started = False

    @property
    def version_(self) -> Version | None:
        """Return the version of the document in force."""
        return self._in_force(DOCUMENT)

    @property
    def host_list_version_(self) -> Version | None:
        """Return the version of the host list in use."""
        return self._in_force(HOSTS)

    @property
    def is_reader_(self) -> bool:
        """Tell whether this host watches the platform for its zone."""
        return self._started and self._peers.is_reader

    def update(self, view: View, now: float) -> list[Any]:
        """Take the live hosts; offer what is in force to new ones."""
        self._ensure_started(now)
        for endpoint in self._peers.update(view.hosts_by_id.values()):
            self._progress.offer_all(endpoint)
        return self._drain()

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take a peer's message, an answer of the platform or a pause."""
        self._ensure_started(now)
        if isinstance(event, PeerReceived):
            self._peer_messages.receive(event.message, event.endpoint, now)
        elif isinstance(event, PlatformRead):
            self._platform_answers.take(event, now)
        elif isinstance(event, PauseDetected):
            self._offer_to_peers(QUERY_PEERS)
        return self._drain()

    def tick(self, now: float) -> list[Any]:
        """Read the platform, offer, query and fetch what is due."""
        self._ensure_started(now)
        progress = self._progress
        progress.outbox += progress.platform.due_calls(
            may_watch=self._peers.is_reader, is_starting=not self.ready_, now=now
        )
        if now >= self._offer_due:
            jitter = self._peers.random.uniform(0.8, 1.2)
            self._offer_due = now + self.offer_interval * jitter
            self._offer_to_peers(1)
        if not self.ready_:
            self._query(now)
            self._check_ready(now)
        for topic in progress.topics_by_name.values():
            progress.step(topic, now)
        return self._drain()

    def _ensure_started(self, now: float) -> None:
        if self._started:
            return
        validate_parameters(self, _CONSTRAINTS_BY_NAME)
        generator = random.Random(self.random_state)
        check_by_topic = {DOCUMENT: self.check_document, HOSTS: self.check_hosts}
        self._peers = PeerSet(self.own_id, self.zone, generator)
        self._progress = Progress(self._peers, check_by_topic, generator, now)
        self._peer_messages = PeerMessages(self._progress)
        self._platform_answers = PlatformAnswers(self._progress)
        self._offer_due = now + generator.uniform(0, self.offer_interval)
        self._query_due = now
        self._started = True

    def _in_force(self, topic_name: str) -> Version | None:
        if not self._started:
            return None
        return self._progress.topics_by_name[topic_name].in_force

    def _offer_to_peers(self, count: int) -> None:
        for endpoint in self._peers.sample(count):
            self._progress.offer_all(endpoint)

    def _query(self, now: float) -> None:
        """Ask peers for their greatest versions until one has answered."""
        if now < self._query_due:
            return
        self._query_due = now + QUERY_INTERVAL_SECONDS
        for name, readiness in self._progress.readiness_by_topic.items():
            if readiness.peer_answered:
                continue
            request = peer_types.ManifestRequest(name, 0, b"")
            for endpoint in self._peers.sample(QUERY_PEERS):
                self._progress.outbox.append(SendPeer(endpoint, request))

    def _check_ready(self, now: float) -> None:
        readiness_by_topic = self._progress.readiness_by_topic
        topics = self._progress.topics_by_name.values()
        if all(readiness_by_topic[t.name].is_ready(t, now) for t in topics):
            self.ready_ = True
            fields = {"version": str(self.version_)}
            self._progress.outbox.append(LogEvent("host_ready", fields))

    def _drain(self) -> list[Any]:
        actions = list(self._progress.outbox)
        self._progress.outbox.clear()
        return actions
