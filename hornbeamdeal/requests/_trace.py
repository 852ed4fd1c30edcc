"""Format, reader and replay of recorded traces.

A trace is a file of JSON lines. The first line is the header:
`{"trace": "requests", "version": 1, "title": ..., "hosts": {id: incarnation},
"limits": {...}}`. The events follow, each with its time in seconds, its host and
its fields, and then the complete list of the expected outcomes:

- `{"at": 0, "host": "a", "event": "request", "name": "r1"}` with optional
  `method`, `path`, `payload`, `message_id`, `token_of` (name of the request
  whose answer carried the run token to use) and `run_token` (hexadecimal)
- `{"event": "server_answered", "request": "r1", "outcome": "answered",
  "payload": "..."}` answers the latest dispatch of the request, or the one
  numbered `dispatch` (from 0); `server` overrides the server's name
- `cancel` (`request`), `pause` (`seconds`), `stop`, `tick`, `update`, `hold`,
  `free`, `shed`, `kill`, `restart` (`incarnation`), `host_state` (`of`,
  `state`)
- `{"outcome": "reply", "request": "r1", "status": "ok"}` with optional
  `reason` and `payload`, in the order of the replies
- `{"outcome": "dispatched", "request": "r1", "times": 1}`
"""

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from hornbeamdeal.kernel import (
    CancelReceived,
    DispatchOutcome,
    HornbeamdealError,
    HostState,
    PauseDetected,
    Request,
    RequestReceived,
    ServerAnswer,
    ServerAnswerReceived,
    StopRequested,
)

from ._base import Limits
from ._fake_fleet import HostFleet, make_request

TRACE_VERSION = 1


class TraceError(HornbeamdealError):
    """Error in a trace."""

    def __init__(self, line: int, fault: str):
        super().__init__(f"line {line}: {fault}; see the format in {__name__}")


@dataclass(frozen=True, slots=True)
class Trace:
    """Events and expected outcomes of one recording."""

    title: str
    incarnations_by_host: dict[str, int]
    limits: Limits
    events: list[dict[str, Any]] = field(default_factory=list)
    outcomes: list[dict[str, Any]] = field(default_factory=list)


def read_trace(text: str) -> Result[Trace, TraceError]:
    """Parse a trace, or return an error that names the faulty line."""
    trace = None
    for number, line in enumerate(text.splitlines(), start=1):
        try:
            entry = json.loads(line)
            trace = _add_entry(trace, entry)
        except (ValueError, KeyError, TypeError) as error:
            return Err(TraceError(number, f"malformed trace line ({error!r})"))
    return Ok(trace) if trace else Err(TraceError(1, "trace has no header"))


def _add_entry(trace: Trace | None, entry: dict[str, Any]) -> Trace:
    """Add one parsed line to the trace.

    Raises ValueError, KeyError or TypeError if the line is malformed.
    """
    if trace is None:
        if (entry["trace"], entry["version"]) != ("requests", TRACE_VERSION):
            raise ValueError(f"expected the header of a version {TRACE_VERSION} trace")
        limits = Limits(**entry.get("limits", {}))
        return Trace(entry["title"], entry["hosts"], limits)
    if "event" in entry:
        trace.events.append(entry)
    elif "outcome" in entry:
        trace.outcomes.append(entry)
    else:
        raise ValueError("line has neither an event nor an outcome")
    return trace


def replay_trace(trace: Trace, plugin: str = "run_token") -> list[str]:
    """Replay a trace, and return the differences from its expected outcomes."""
    player = TracePlayer(trace, plugin)
    for entry in trace.events:
        player.play(entry)
    return compare(trace.outcomes, player.outcomes())


def compare(expected_outcomes: list[dict], outcomes: list[dict]) -> list[str]:
    """Return the first difference, if any; only keys of expected outcomes count."""
    for position, (expected, actual) in enumerate(
        zip(expected_outcomes, outcomes, strict=False)
    ):
        compared = {key: actual.get(key) for key in expected}
        if compared != expected:
            return [f"outcome {position}: expected {expected}, got {actual}"]
    if len(expected_outcomes) != len(outcomes):
        return [
            f"expected {len(expected_outcomes)} outcomes, got {len(outcomes)}: "
            f"{outcomes}"
        ]
    return []


class TracePlayer:
    """Plays a trace's events on real dispatchers in a fake fleet."""

    def __init__(self, trace: Trace, plugin: str):
        self.fleet = HostFleet(
            trace.incarnations_by_host, plugin=plugin, limits=trace.limits
        )
        self.requests_by_name: dict[str, Request] = {}

    def play(self, entry: dict[str, Any]) -> None:
        """Play one event."""
        getattr(self, "_" + entry["event"])(entry, entry["host"], entry["at"])

    def outcomes(self) -> list[dict[str, Any]]:
        """Return the replies in order, then the number of dispatches per request."""
        outcomes = []
        for request, answer in self.fleet.replies:
            reply = {"outcome": "reply", "request": request.token.decode()}
            reply |= {"status": answer.status.value, "reason": answer.reason}
            outcomes.append(reply | {"payload": answer.payload.decode()})
        names = (d.request.token.decode() for _, d in self.fleet.dispatches)
        for name, times in sorted(Counter(names).items()):
            outcomes.append({"outcome": "dispatched", "request": name, "times": times})
        return outcomes

    def _request(self, entry, host, now) -> None:
        fields = {k: entry[k] for k in ("method", "path", "message_id") if k in entry}
        if "token_of" in entry:
            fields["run_token"] = self._issued_token(entry["token_of"])
        if "run_token" in entry:
            fields["run_token"] = bytes.fromhex(entry["run_token"])
        payload = entry.get("payload", "").encode()
        request = make_request(entry["name"], payload=payload, **fields)
        self.requests_by_name[entry["name"]] = request
        self.fleet.handle(host, RequestReceived(request), now)

    def _issued_token(self, name: str) -> bytes:
        for request, answer in self.fleet.replies:
            if request.token == name.encode() and answer.run_token:
                return answer.run_token
        raise TraceError(0, f"no answer to request {name!r} has a run token")

    def _server_answered(self, entry, host, now) -> None:
        name = entry["request"].encode()
        dispatches = [d for _, d in self.fleet.dispatches if d.request.token == name]
        dispatch = dispatches[entry.get("dispatch", -1)]
        server_id = entry.get("server", dispatch.server.server_id)
        answer = ServerAnswer(
            DispatchOutcome(entry["outcome"]),
            payload=entry.get("payload", "").encode(),
            code=entry.get("code", ""),
        )
        event = ServerAnswerReceived(server_id, dispatch.exchange_id, answer)
        self.fleet.handle(host, event, now)

    def _cancel(self, entry, host, now) -> None:
        request = self.requests_by_name[entry["request"]]
        event = CancelReceived(request.caller, request.address, request.message_id)
        self.fleet.handle(host, event, now)

    def _pause(self, entry, host, now) -> None:
        self.fleet.handle(host, PauseDetected(entry["seconds"]), now)

    def _stop(self, entry, host, now) -> None:
        self.fleet.handle(host, StopRequested(), now)

    def _tick(self, entry, host, now) -> None:
        self.fleet.tick(host, now)

    def _update(self, entry, host, now) -> None:
        self.fleet.update(host, now)

    def _hold(self, entry, host, now) -> None:
        self.fleet.dispatchers_by_id[host].admission.is_queueing = True

    def _free(self, entry, host, now) -> None:
        self.fleet.drain_queue(host, now)

    def _shed(self, entry, host, now) -> None:
        self.fleet.drain_queue(host, now, refuses=True)

    def _kill(self, entry, host, now) -> None:
        self.fleet.kill(host)

    def _restart(self, entry, host, now) -> None:
        self.fleet.start(host, entry["incarnation"], now)

    def _host_state(self, entry, host, now) -> None:
        self.fleet.states_by_id[entry["of"]] = HostState(entry["state"])
        self.fleet.update(host, now)
