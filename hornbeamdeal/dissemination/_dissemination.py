"""The dissemination component of one entry host."""

import random
from typing import Any

from hornbeamdeal.kernel import (
    Between,
    ClusterView,
    LogEvent,
    PauseDetected,
    PeerMessageReceived,
    PlatformReadCompleted,
    SendPeerMessage,
    Version,
    validate_parameters,
)
from hornbeamdeal.wire import peer_types

from ._peer_messages import PeerMessageHandler
from ._peers import PeerSet
from ._platform_results import PlatformResultHandler
from ._topic import DOCUMENT, HOST_LIST
from ._topic_updater import QUERY_PEERS, TopicUpdater

QUERY_INTERVAL_SECONDS = 0.5

_CONSTRAINTS_BY_NAME = {"offer_interval": Between(0.05, 60)}


class Dissemination:
    """Spreads documents and host lists over a region.

    Parameters
    ----------
    own_id, zone : str
        Identifier and availability zone of this host.
    check_document, check_hosts : callable or None
        Return the fault of a content, or an empty string if it is valid.
        Faulty versions are never put in force.
    offer_interval : float
        Seconds between two periodic offers to a random peer (anti-entropy).
    random_state : int or None
        Seed of all random choices.

    Attributes
    ----------
    version_ : Version or None
        Version of the document in force.
    host_list_version_ : Version or None
        Version of the host list in use; its number is the list's own revision.
    is_reader_ : bool
        Whether this host watches the platform for its zone.
    ready_ : bool
        Whether this host knows enough to serve; never reset.
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
        "_platform_results",
        "_query_due",
        "_started",
        "_updater",
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
        return self._version_in_force(DOCUMENT)

    @property
    def host_list_version_(self) -> Version | None:
        """Return the version of the host list in use."""
        return self._version_in_force(HOST_LIST)

    @property
    def is_reader_(self) -> bool:
        """Return whether this host watches the platform for its zone."""
        return self._started and self._peers.is_reader

    def update(self, view: ClusterView, now: float) -> list[Any]:
        """Adopt the live hosts; offer the versions in force to new ones."""
        self._ensure_started(now)
        for endpoint in self._peers.update(view.hosts_by_id.values()):
            self._updater.offer_all(endpoint)
        return self._take_actions()

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle a peer's message, a platform read result or a pause."""
        self._ensure_started(now)
        if isinstance(event, PeerMessageReceived):
            self._peer_messages.handle(event.message, event.endpoint, now)
        elif isinstance(event, PlatformReadCompleted):
            self._platform_results.handle(event, now)
        elif isinstance(event, PauseDetected):
            self._offer_to_peers(QUERY_PEERS)
        return self._take_actions()

    def tick(self, now: float) -> list[Any]:
        """Run the platform reads, offers, queries and fetches that are due."""
        self._ensure_started(now)
        updater = self._updater
        updater.actions += updater.platform.due_calls(
            may_watch=self._peers.is_reader, is_starting=not self.ready_, now=now
        )
        if now >= self._offer_due:
            jitter = self._peers.random.uniform(0.8, 1.2)
            self._offer_due = now + self.offer_interval * jitter
            self._offer_to_peers(1)
        if not self.ready_:
            self._query(now)
            self._check_ready(now)
        for topic in updater.topics_by_name.values():
            updater.step(topic, now)
        return self._take_actions()

    def _ensure_started(self, now: float) -> None:
        if self._started:
            return
        validate_parameters(self, _CONSTRAINTS_BY_NAME)
        generator = random.Random(self.random_state)
        check_by_topic = {DOCUMENT: self.check_document, HOST_LIST: self.check_hosts}
        self._peers = PeerSet(self.own_id, self.zone, generator)
        self._updater = TopicUpdater(self._peers, check_by_topic, generator, now)
        self._peer_messages = PeerMessageHandler(self._updater)
        self._platform_results = PlatformResultHandler(self._updater)
        self._offer_due = now + generator.uniform(0, self.offer_interval)
        self._query_due = now
        self._started = True

    def _version_in_force(self, topic_name: str) -> Version | None:
        if not self._started:
            return None
        return self._updater.topics_by_name[topic_name].in_force

    def _offer_to_peers(self, count: int) -> None:
        for endpoint in self._peers.sample(count):
            self._updater.offer_all(endpoint)

    def _query(self, now: float) -> None:
        """Request the greatest versions of peers until one has replied."""
        if now < self._query_due:
            return
        self._query_due = now + QUERY_INTERVAL_SECONDS
        for name, readiness in self._updater.readiness_by_topic.items():
            if readiness.peer_answered:
                continue
            request = peer_types.ManifestRequest(name, 0, b"")
            for endpoint in self._peers.sample(QUERY_PEERS):
                self._updater.actions.append(SendPeerMessage(endpoint, request))

    def _check_ready(self, now: float) -> None:
        readiness_by_topic = self._updater.readiness_by_topic
        topics = self._updater.topics_by_name.values()
        if all(readiness_by_topic[t.name].is_ready(t, now) for t in topics):
            self.ready_ = True
            fields = {"version": str(self.version_)}
            self._updater.actions.append(LogEvent("host_ready", fields))

    def _take_actions(self) -> list[Any]:
        pending = list(self._updater.actions)
        self._updater.actions.clear()
        return pending
