"""Actions about a host, its peers and its logs."""

from dataclasses import dataclass, field
from typing import Any

from ._endpoint import Endpoint


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a thrift message to a peer, over TCP where `over_tcp` is set."""

    endpoint: Endpoint
    message: Any
    over_tcp: bool = False


@dataclass(frozen=True, slots=True)
class RebuildView:
    """Rebuild the view, since known entry hosts or their states changed."""


@dataclass(frozen=True, slots=True)
class BroadcastPause:
    """Send `PauseDetected` to all components, since a peer suspected this host.

    The monotonic clock may stop while the machine is suspended, so a pause can
    occur without a gap between two ticks.
    """


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Increment a counter; `name` is a metric defined in `observability`."""

    name: str
    reason: str = ""
    service: str = ""
    amount: float = 1


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a log line."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)
    level: str = "info"
