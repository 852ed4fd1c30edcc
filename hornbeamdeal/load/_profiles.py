"""Load profiles of requests and watched flows, and the runs that apply them."""

import json
import random
from dataclasses import dataclass

import trio

from hornbeamdeal.kernel import Endpoint

from ._caller import Caller, Watcher
from ._report import StepReport, summarize_flows

CALLERS_PER_PROFILE = 32


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """Requests for one path, in steps; `rates` has each step's requests a second."""

    method: str
    path: str
    rates: tuple[float, ...]
    step_seconds: float
    timeout_seconds: float
    payload_bytes: int = 64


@dataclass(frozen=True, slots=True)
class FlowProfile:
    """Watched flows that stay open for the whole run."""

    path: str
    flows: int
    refresh_seconds: float


def read_server_name(payload: bytes) -> str:
    """Return the server's name from a notification of the stand-in server."""
    return json.loads(payload)["server"]


class LoadRun:
    """Applies load profiles to service addresses and collects the results."""

    __slots__ = (
        "random_state",
        "random_",
        "reports",
        "watchers",
        "sequence_",
        "run_ids_by_code",
    )

    def __init__(self, *, random_state: int = 0):
        self.random_state = random_state
        self.random_ = random.Random(random_state)
        self.reports: list[StepReport] = []
        self.watchers: list[Watcher] = []
        self.sequence_ = 0
        self.run_ids_by_code: dict[str, list[str]] = {}

    async def run_flows(self, address: Endpoint, profile: FlowProfile) -> None:
        """Open all flows, at most 500 a second, and keep them open until cancelled."""
        async with trio.open_nursery() as nursery:
            for index in range(profile.flows):
                watcher = Watcher(
                    address=address,
                    random_state=self.random_.randrange(1 << 30),
                    path=profile.path,
                    refresh_seconds=profile.refresh_seconds,
                    read_server=read_server_name,
                )
                await watcher.open()
                self.watchers.append(watcher)
                nursery.start_soon(watcher.run)
                nursery.start_soon(watcher.watch)
                # 10 flows every 0.02 s are 500 a second.
                if index % 10 == 9:
                    await trio.sleep(0.02)

    async def run_requests(self, address: Endpoint, profile: RequestProfile) -> None:
        """Offer requests at the rate of each step and wait for all outcomes."""
        callers = [
            Caller(address=address, random_state=self.random_.randrange(1 << 30))
            for _ in range(CALLERS_PER_PROFILE)
        ]
        async with trio.open_nursery() as receivers:
            for caller in callers:
                await caller.open()
                receivers.start_soon(caller.run)
            async with trio.open_nursery() as submissions:
                for rate in profile.rates:
                    await self._run_step(submissions, callers, profile, rate)
            receivers.cancel_scope.cancel()

    async def _run_step(self, nursery, callers, profile, rate: float) -> None:
        report = StepReport(name=f"{profile.path} at {rate:g}/s")
        self.reports.append(report)
        ends_at = trio.current_time() + profile.step_seconds
        next_at = trio.current_time()
        while next_at < ends_at:
            await trio.sleep_until(next_at)
            caller = self.random_.choice(callers)
            report.offered += 1
            nursery.start_soon(self._submit, caller, profile, report)
            next_at += self.random_.expovariate(rate)

    async def _submit(self, caller, profile, report: StepReport) -> None:
        self.sequence_ += 1
        run_id = f"{self.random_state}-{self.sequence_}"
        payload = run_id.encode().ljust(profile.payload_bytes)
        result = await caller.submit(
            profile.method, profile.path, payload, profile.timeout_seconds
        )
        if result.code == "CONTENT" and not result.payload.startswith(run_id.encode()):
            report.codes["FOREIGN_ANSWER"] += 1
        report.add(result)
        self.run_ids_by_code.setdefault(result.code, []).append(run_id)

    def summary(self) -> dict:
        """Return the results of the run as JSON fields."""
        return {
            "random_state": self.random_state,
            "requests": [report.summary() for report in self.reports],
            "flows": summarize_flows(
                [watcher.observations_ for watcher in self.watchers]
            ),
        }
