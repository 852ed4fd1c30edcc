"""Recorded traces: a plain format, its reader and its replay.

A trace is a file of JSON lines. The first line is the header:
`{"trace": "requests", "version": 1, "title": ..., "hosts": {id: incarnation},
"limits": {...}}`. Then come events with their time in seconds, the host they
reach and their fields, and then the stated outcomes, which are complete:

- `{"at": 0, "host": "a", "event": "request", "name": "r1"}` with optional
  `method`, `path`, `payload`, `message_id`, `token_of` (name of the request
  that was answered with the run token to use) and `run_token` (hexadecimal)
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
    HornbeamdealError,
    HostState,
    Outcome,
    PauseDetected,
    Request,
    RequestReceived,
    ServerAnswer,
    ServerAnswered,
    StopRequested,
)

from ._base import Limits
from ._fake_fleet import HostFleet, make_request

TRACE_VERSION = 1


class TraceError(HornbeamdealError):
    """A trace cannot be read."""

    def __init__(self, line: int, fault: str):
        super().__init__(f"line {line}: {fault}; see the format in {__name__}")


@dataclass(frozen=True, slots=True)
class Trace:
    """Events and stated outcomes of one recording."""

    title: str
    incarnations_by_host: dict[str, int]
    limits: Limits
    events: list[dict[str, Any]] = field(default_factory=list)
    outcomes: list[dict[str, Any]] = field(default_factory=list)


def read_trace(text: str) -> Result[Trace, TraceError]:
    """Read a trace from its text."""
    trace = None
    for number, line in enumerate(text.splitlines(), start=1):
        try:
            entry = json.loads(line)
            trace = _add_entry(trace, entry)
        except (ValueError, KeyError, TypeError) as error:
            return Err(TraceError(number, f"is not a line of a trace ({error!r})"))
    return Ok(trace) if trace else Err(TraceError(1, "holds no header"))


def _add_entry(trace: Trace | None, entry: dict[str, Any]) -> Trace:
    """Take one line; raise ValueError, KeyError or TypeError for a bad one."""
    if trace is None:
        if (entry["trace"], entry["version"]) != ("requests", TRACE_VERSION):
            raise ValueError(f"header of a trace of version {TRACE_VERSION} expected")
        limits = Limits(**entry.get("limits", {}))
        return Trace(entry["title"], entry["hosts"], limits)
    if "event" in entry:
        trace.events.append(entry)
    elif "outcome" in entry:
        trace.outcomes.append(entry)
    else:
        raise ValueError("neither an event nor an outcome")
    return trace


def replay_trace(trace: Trace, plugin: str = "run_token") -> list[str]:
    """Replay a trace; return the differences from its stated outcomes."""
    player = TracePlayer(trace, plugin)
    for entry in trace.events:
        player.play(entry)
    return compare(trace.outcomes, player.outcomes())


def compare(stated: list[dict], seen: list[dict]) -> list[str]:
    """Name the first difference; outcomes leave out what they do not state."""
    for position, (expected, actual) in enumerate(zip(stated, seen, strict=False)):
        shown = {key: actual.get(key) for key in expected}
        if shown != expected:
            return [f"outcome {position}: stated {expected}, seen {actual}"]
    if len(stated) != len(seen):
        return [f"{len(stated)} outcomes stated, {len(seen)} seen: {seen}"]
    return []


class TracePlayer:
    """Plays a trace's events on real dispatchers with fakes around them."""

    def __init__(self, trace: Trace, plugin: str):
        self.fleet = HostFleet(
            trace.incarnations_by_host, plugin=plugin, limits=trace.limits
        )
        self.requests_by_name: dict[str, Request] = {}

    def play(self, entry: dict[str, Any]) -> None:
        """Play one event."""
        getattr(self, "_" + entry["event"])(entry, entry["host"], entry["at"])

    def outcomes(self) -> list[dict[str, Any]]:
        """Return the replies in order, then the number of dispatches."""
        seen = []
        for request, answer in self.fleet.replies:
            reply = {"outcome": "reply", "request": request.token.decode()}
            reply |= {"status": answer.status.value, "reason": answer.reason}
            seen.append(reply | {"payload": answer.payload.decode()})
        names = (d.request.token.decode() for _, d in self.fleet.dispatches)
        for name, times in sorted(Counter(names).items()):
            seen.append({"outcome": "dispatched", "request": name, "times": times})
        return seen

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
        raise TraceError(0, f"request {name!r} was answered with no run token")

    def _server_answered(self, entry, host, now) -> None:
        name = entry["request"].encode()
        sent = [d for _, d in self.fleet.dispatches if d.request.token == name]
        dispatch = sent[entry.get("dispatch", -1)]
        server_id = entry.get("server", dispatch.server.server_id)
        answer = ServerAnswer(
            Outcome(entry["outcome"]),
            payload=entry.get("payload", "").encode(),
            code=entry.get("code", ""),
        )
        event = ServerAnswered(server_id, dispatch.exchange_id, answer)
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
